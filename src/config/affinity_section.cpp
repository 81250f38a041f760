// [affinity]: estimates of the prompts that replicas have cached.
#include "config/operator_sections.hpp"

namespace thornwick::config {

void read_affinity(settings::Root& file, AffinityFile& into, settings::Errors& errors) {
  settings::Section section(file.table("affinity"), "affinity", errors);
  section.flag("enabled", into.enabled);
  section.count("entries", into.max_entries, 16, 100'000'000);
  section.count("bytes", into.max_memory_bytes, 0, std::int64_t{1} << 36);
  section.count("boxes", into.max_replicas, 1, 65'535);
  section.number("lifetime_s", into.lifetime_s, 1, 604'800);
  section.number("answers_per_false_alarm", into.answers_per_false_alarm, 10, 1e12);
  section.one_of("eviction", into.eviction, {"lru", "segmented", "tinylfu"});
}

}  // namespace thornwick::config
