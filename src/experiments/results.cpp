#include "experiments/results.hpp"

#include <SQLiteCpp/SQLiteCpp.h>

#include "experiments/error.hpp"

namespace thornwick::experiments {
namespace {

constexpr int kVersion = 1;
constexpr int kBusyTimeoutMs = 5000;
constexpr const char* kColumns =
    "scenario, settings, policy, seed, score, in_time, kept, shed, hops, module_us, requests_per_s, turns, "
    "rules, json";

// The columns with floating-point numbers, in the order of the file's columns.
constexpr double ResultRow::*kNumbers[] = {
    &ResultRow::score,          &ResultRow::in_time_share,     &ResultRow::cached_share,
    &ResultRow::rejected_share, &ResultRow::attempts_per_turn, &ResultRow::decision_us,
    &ResultRow::requests_per_s};

ResultRow read_row(const SQLite::Statement& query) {
  ResultRow row;
  int column = 0;
  row.point.scenario = query.getColumn(column++).getString();
  row.point.settings = query.getColumn(column++).getString();
  row.point.policy = query.getColumn(column++).getString();
  row.seed = static_cast<std::uint64_t>(query.getColumn(column++).getInt64());
  for (const auto number : kNumbers) row.*number = query.getColumn(column++).getDouble();
  row.turns = static_cast<std::uint64_t>(query.getColumn(column++).getInt64());
  row.rules_broken = static_cast<std::uint64_t>(query.getColumn(column++).getInt64());
  row.json = query.getColumn(column++).getString();
  return row;
}

std::vector<ResultRow> read_rows(SQLite::Statement& query) {
  std::vector<ResultRow> rows;
  while (query.executeStep()) rows.push_back(read_row(query));
  return rows;
}

template <typename Part, typename Whole>
double quotient(Part part, Whole whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

}  // namespace

ResultRow summarise(const GridPoint& point, const emulator::Result& result, Detail detail) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  ResultRow row;
  row.point = point;
  row.seed = result.seed;
  row.score = result.score;
  row.in_time_share = result.total_weight.share();
  row.cached_share = result.cached_share();
  row.rejected_share = quotient(result.totals.rejected, result.totals.admitted);
  row.attempts_per_turn = quotient(result.attempts, result.turns);
  row.decision_us = kMicrosecondsPerSecond * quotient(result.module_s, result.turns);
  row.requests_per_s = quotient(result.turns, result.wall_s);
  row.turns = result.turns;
  row.rules_broken = result.violations.all();
  if (detail == Detail::whole_result) row.json = emulator::to_json(result, emulator::Costs::excluded);
  return row;
}

struct Results::File {
  SQLite::Database database;
};

Results::Results(const std::string& path) try
    : file_(new File{SQLite::Database(path, SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE)}) {
  SQLite::Database& database = file_->database;
  database.setBusyTimeout(kBusyTimeoutMs);
  const int version = database.execAndGet("PRAGMA user_version").getInt();
  if (version > kVersion) throw ExperimentError(ErrorKind::results_file, "written by a newer version");
  database.exec("PRAGMA journal_mode = WAL");
  database.exec("CREATE TABLE IF NOT EXISTS days (key TEXT, " + std::string(kColumns) +
                ", PRIMARY KEY (key, seed))");
  database.exec("PRAGMA user_version = " + std::to_string(kVersion));
} catch (const std::exception& problem) {
  throw ExperimentError(ErrorKind::results_file, path + ": " + problem.what());
}

Results::~Results() = default;

bool Results::has(const std::string& key, std::uint64_t seed) const {
  SQLite::Statement query(file_->database, "SELECT 1 FROM days WHERE key = ? AND seed = ?");
  query.bind(1, key);
  query.bind(2, static_cast<std::int64_t>(seed));
  return query.executeStep();
}

void Results::add(const std::string& key, const ResultRow& row) {
  SQLite::Statement query(file_->database, "INSERT OR REPLACE INTO days (key, " + std::string(kColumns) +
                                               ") VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)");
  int column = 1;
  query.bind(column++, key);
  query.bind(column++, row.point.scenario);
  query.bind(column++, row.point.settings);
  query.bind(column++, row.point.policy);
  query.bind(column++, static_cast<std::int64_t>(row.seed));
  for (const auto number : kNumbers) query.bind(column++, row.*number);
  query.bind(column++, static_cast<std::int64_t>(row.turns));
  query.bind(column++, static_cast<std::int64_t>(row.rules_broken));
  query.bind(column++, row.json);
  query.exec();
}

std::vector<ResultRow> Results::rows_of(const std::string& key) const {
  SQLite::Statement query(file_->database,
                          "SELECT " + std::string(kColumns) + " FROM days WHERE key = ? ORDER BY seed");
  query.bind(1, key);
  return read_rows(query);
}

std::vector<ResultRow> Results::all_rows() const {
  SQLite::Statement query(file_->database,
                          "SELECT " + std::string(kColumns) +
                              ", (SELECT MIN(rowid) FROM days d WHERE d.key = days.key) AS first FROM days "
                              "ORDER BY first, seed");
  return read_rows(query);
}

}  // namespace thornwick::experiments
