// [store]: the file with state that outlives the process.
#include "config/operator_sections.hpp"

namespace thornwick::config {

void read_store(settings::Root& file, StoreFile& into, settings::Errors& errors) {
  settings::Section section(file.table("store"), "store", errors);
  section.text("file", into.file);
  section.count("megabytes", into.max_megabytes, 1, 1 << 20);
  section.number("sync_s", into.max_sync_delay_s, 0.01, 3600);
  section.count("changes", into.max_undurable_changes, 1, 1'000'000);
}

}  // namespace thornwick::config
