// [copies]: replication of ledgers among the routers of the group.
#include "config/operator_sections.hpp"

namespace thornwick::config {
namespace {

// A lease that is shorter could end while another leader is elected.
constexpr double kMinHeartbeatsPerLease = 8;

void check_replication(const ReplicationFile& replication, const GroupFile& group,
                       settings::Section& section) {
  if (replication.replica_count == 4) section.reject("holders", "4 is not allowed; allowed are 3 and 5");
  if (replication.file.empty())
    section.reject("file", "missing or empty; replication needs the path of a file");
  if (group.name.empty() || !group.peer_links_enabled)
    section.reject("enabled", "copies need a [group] with links");
  if (group.routers.size() < replication.replica_count)
    section.reject("holders", std::to_string(replication.replica_count) +
                                  " replicas need as many routers, but the group has " +
                                  std::to_string(group.routers.size()));
  if (replication.lease_s < kMinHeartbeatsPerLease * replication.heartbeat_s) {
    section.reject("lease_s", "less than eight heartbeats: it would end while another leader is chosen");
  }
}

}  // namespace

void read_replication(settings::Root& file, ReplicationFile& into, const GroupFile& group,
                      settings::Errors& errors) {
  settings::Section section(file.table("copies"), "copies", errors);
  into.line = section.line();
  section.flag("enabled", into.enabled);
  section.text("file", into.file);
  section.count("megabytes", into.max_megabytes, 1, 1 << 20);
  section.count("holders", into.replica_count, 3, 5);
  section.number("lease_s", into.lease_s, 0.5, 600);
  section.number("heartbeat_s", into.heartbeat_s, 0.02, 10);
  section.one_of("without_majority", into.without_majority, {"strict", "lenient"});
  section.number("overdraft", into.overdraft_fraction, 0, 1);
  if (into.enabled) check_replication(into, group, section);
}

}  // namespace thornwick::config
