#include "experiments/results.hpp"

#include <SQLiteCpp/SQLiteCpp.h>

#include <algorithm>
#include <stdexcept>

namespace thornwick::experiments {
namespace {

constexpr int kVersion = 1;
constexpr const char* kColumns =
    "scenario, settings, policy, seed, score, in_time, kept, shed, hops, module_us, requests_per_s, turns, "
    "rules, json";

Row read(const SQLite::Statement& q) {
  Row row;
  row.point = {q.getColumn(0).getString(), q.getColumn(1).getString(), q.getColumn(2).getString()};
  row.seed = static_cast<std::uint64_t>(q.getColumn(3).getInt64());
  double* const numbers[] = {&row.score,    &row.in_time,   &row.kept,          &row.rejected,
                             &row.attempts, &row.module_us, &row.requests_per_s};
  for (int i = 0; i < 7; ++i) *numbers[i] = q.getColumn(4 + i).getDouble();
  row.turns = static_cast<std::uint64_t>(q.getColumn(11).getInt64());
  row.rules = static_cast<std::uint64_t>(q.getColumn(12).getInt64());
  row.json = q.getColumn(13).getString();
  return row;
}

}  // namespace

Row summarise(const Point& point, const emulator::Result& r, bool whole) {
  const auto part = [](auto a, auto b) {
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
  };
  Row row;
  row.point = point;
  row.seed = r.seed;
  row.score = r.score, row.in_time = r.whole.share(), row.kept = r.cached_share();
  row.rejected = part(r.totals.rejected, r.totals.taken), row.attempts = part(r.attempts, r.turns);
  row.module_us = 1e6 * part(r.module_s, r.turns), row.requests_per_s = part(r.turns, r.wall_s);
  row.turns = r.turns, row.rules = r.violations.all();
  if (whole) row.json = emulator::to_json(r, emulator::Costs::left_out);
  return row;
}

struct Results::File {
  SQLite::Database db;
};

Results::Results(const std::string& path) try
    : file_(new File{SQLite::Database(path, SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE)}) {
  SQLite::Database& db = file_->db;
  db.setBusyTimeout(5000);
  const int version = db.execAndGet("PRAGMA user_version").getInt();
  if (version > kVersion) throw std::runtime_error("written by a newer version");
  db.exec("PRAGMA journal_mode = WAL");
  db.exec("CREATE TABLE IF NOT EXISTS days (key TEXT, " + std::string(kColumns) +
          ", PRIMARY KEY (key, seed))");
  db.exec("PRAGMA user_version = " + std::to_string(kVersion));
} catch (const std::exception& problem) {
  throw std::runtime_error(path + ": " + problem.what());
}

Results::~Results() = default;

bool Results::has(const std::string& key, std::uint64_t seed) const {
  SQLite::Statement q(file_->db, "SELECT 1 FROM days WHERE key = ? AND seed = ?");
  q.bind(1, key);
  q.bind(2, static_cast<std::int64_t>(seed));
  return q.executeStep();
}

void Results::add(const std::string& key, const Row& row) {
  SQLite::Statement q(file_->db, "INSERT OR REPLACE INTO days (key, " + std::string(kColumns) +
                                     ") VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)");
  q.bind(1, key);
  q.bind(2, row.point.scenario);
  q.bind(3, row.point.settings);
  q.bind(4, row.point.policy);
  q.bind(5, static_cast<std::int64_t>(row.seed));
  const double numbers[] = {row.score,    row.in_time,   row.kept,          row.rejected,
                            row.attempts, row.module_us, row.requests_per_s};
  for (int i = 0; i < 7; ++i) q.bind(6 + i, numbers[i]);
  q.bind(13, static_cast<std::int64_t>(row.turns));
  q.bind(14, static_cast<std::int64_t>(row.rules));
  q.bind(15, row.json);
  q.exec();
}

std::vector<Row> Results::of(const std::string& key) const {
  std::vector<Row> rows;
  SQLite::Statement q(file_->db,
                      "SELECT " + std::string(kColumns) + " FROM days WHERE key = ? ORDER BY seed");
  q.bind(1, key);
  while (q.executeStep()) rows.push_back(read(q));
  return rows;
}

std::vector<Row> Results::all() const {
  std::vector<Row> rows;
  SQLite::Statement q(file_->db,
                      "SELECT " + std::string(kColumns) +
                          ", (SELECT MIN(rowid) FROM days d WHERE d.key = days.key) AS first FROM days "
                          "ORDER BY first, seed");
  while (q.executeStep()) rows.push_back(read(q));
  return rows;
}

}  // namespace thornwick::experiments
