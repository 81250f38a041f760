#include "node.hpp"

#include <algorithm>
#include <cmath>

#include "keeping/learned.hpp"
#include "logging/log.hpp"
#include "tracing/trace.hpp"

namespace sprucecourse {
namespace {

// Parts of the descriptors. What neither has is kept for clients beyond their part, whose requests are read
// and refused at once: guards against requests that wait unread in the kernel's queue until they are lost.
constexpr double kClientPart = 0.5;
constexpr double kEgressPart = 0.42;
// Parts of the memory: one in so many for the bodies of requests, and for what is on the way to clients.
constexpr std::size_t kBodyPart = 4, kAnswerPart = 8;
constexpr std::size_t kLeastOnTheWay = 16 * 1024, kMostOnTheWay = 256 * 1024;
constexpr std::size_t kAffinityPart = 16;  // and for the table of kept copies, unless the operator says
constexpr std::size_t kStorePart = 16;     // and for changes on their way to the store
constexpr Time kCrowdedAbsence = 1'000'000;  // advised when there is no room for a request
constexpr std::size_t kMostBoxLines = 64;
constexpr double kBoundsConfidence = 0.95;  // of a box's hit rate
constexpr Time kLookAgain = 20'000;           // a new process: whether it can serve by now
constexpr std::size_t kSparePart = 8;         // one in so many descriptors is kept while a successor starts
constexpr Time kQuiet = 3'000'000;           // winding down: without clients for this long, the router ends

}  // namespace

// In a word: what made the module choose this box, as far as it can be told from outside.
const char* why_chosen(const core::Tally& tally) {
  const Belief& belief = tally.request.belief;
  if (tally.hops > 1) return "after-a-failure";
  return belief.known && belief.replica == tally.last_target ? "kept-prompt" : "size";
}

const fronts::Dialect& dialect_named(const std::string& name) {
  const auto* found = fronts::dialect_named(name);
  if (found == nullptr) throw BadConfig("operator's file: no such dialect: " + name);
  return *found;
}

affinity::Options affinity_options(const Config& config) {
  static const std::map<std::string, affinity::Eviction> evictions = {
      {"lru", affinity::Eviction::lru},
      {"segmented", affinity::Eviction::segmented},
      {"tinylfu", affinity::Eviction::tinylfu}};
  const AffinityFile& file = config.added.affinity;
  affinity::Options options;
  options.table.entries = file.entries;
  options.table.bytes = file.bytes > 0 ? file.bytes : config.memory_mb * 1024 * 1024 / kAffinityPart;
  options.table.eviction = evictions.at(file.eviction);
  options.table.seed = config.settings.seed;
  options.most_boxes = file.boxes;
  options.lifetime = static_cast<Time>(file.lifetime_s * 1e6);
  options.answers_per_false_alarm = file.answers_per_false_alarm;
  return options;
}

budgets::Options budget_options(const Config& config) {
  using budgets::Span;
  static const std::map<std::string, Span> spans = {
      {"second", Span::bucket}, {"minute", Span::minute}, {"hour", Span::hour}, {"day", Span::day}};
  const BudgetsFile& file = config.added.budgets;
  budgets::Options options;
  options.members = config.tenants;
  options.classes = config.classes;
  options.models = config.added.catalogue.names();
  options.part = config.settings.rank + 1;
  options.parts = std::max(config.settings.group_size, options.part);
  options.block = file.block;
  options.soft_worth = file.soft_worth;
  options.most_accounts = file.accounts;
  std::string wrong;
  const auto place = [&](const BudgetEntry& b, const char* key, const std::string& name,
                         const std::vector<std::string>& names) -> std::uint16_t {
    if (name == "each") return budgets::kEvery;
    if (name == "all") return budgets::kAny;
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) {
      wrong += (wrong.empty() ? "" : "\n") + config.added.path + ":" + std::to_string(b.line) + ": budget." + key +
               ": the settings have no '" + name + "'";
    }
    return static_cast<std::uint16_t>(at - names.begin());
  };
  const auto units = [](double tokens) { return static_cast<budgets::Units>(std::llround(tokens)) * budgets::kUnitsPerToken; };
  for (const auto& b : file.budgets) {
    budgets::Budget budget;
    budget.name = b.name;
    budget.member = place(b, "member", b.member, config.tenants);
    budget.cls = place(b, "class", b.cls, config.classes);
    budget.model = b.model == "each" ? budgets::kEvery
                   : b.model == "all" ? budgets::kAny
                                      : config.added.catalogue.find(b.model);
    budget.hard = b.hard;
    budget.rule.span = spans.at(b.per);
    const bool bucket = budget.rule.span == Span::bucket;
    budget.rule.per_s = bucket ? units(b.tokens) : 0;
    budget.rule.amount = units(bucket && b.burst > 0 ? b.burst : b.tokens);
    options.budgets.push_back(std::move(budget));
  }
  if (!wrong.empty()) throw BadConfig(wrong);
  return options;
}

std::string handover_path(const Config& config) {
  const char* folder = config.ops.empty() ? nullptr : std::getenv("TMPDIR");
  return net::handover_path(folder == nullptr ? "" : folder, config.name, config.listen);
}

void check_config(const Config& config) {
  budget_options(config);
  dialect_named(config.added.target_dialect);
  for (const auto& [uid, name] : config.added.targets) dialect_named(name);
  for (const auto& [what, address] :
       {std::pair{"listen", config.listen}, {"discovery", config.discovery}, {"ops", config.ops}}) {
    const bool none = address.empty() && std::string_view(what) == "ops";
    if (!none && !net::parse_address(address)) {
      throw BadConfig(std::string("configuration: ") + what + " is not an address: " + address);
    }
  }
  Router(config.settings, 0);  // the module has its own checks
}

Node::Node(const Config& config, net::Estate estate)
    : config_(config),
      figures_(config.classes),
      names_{config.classes, config.tenants, {}},
      routes_({.address = config.discovery, .zones = config.zones, .kinds = config.kinds,
               .pushed = !config.settings.directory_must_ask, .bear_old = config.settings.ask_within},
              [this](DirectoryScope scope, std::span<const ReplicaListing> entries) {
                servers_.routes_changed();
                if (routes_.size() > 0) life_.listed();
                core_->listed(scope, entries);
              }),
      peers_({.listen = config.peer_listen,
              .all = config.peers_all,
              .peers = config.peers,
              .bound = std::move(estate.sockets[config.peer_listen])},
             [this](std::uint32_t rank, std::span<const std::uint8_t> message) {
               core_->peer_said(rank, message);
             }),
      servers_(server_options(), routes_),
      flows_(config.added.flow_collector.empty()
                 ? nullptr
                 : std::make_unique<net::Flows>(config.added.flow_collector, config.added.flow_domain)),
      beliefs_(config.added.affinity.enabled
                   ? std::make_unique<affinity::Beliefs>(affinity_options(config),
                                                        static_cast<affinity::Witness*>(this))
                   : nullptr) {
  open_store();
  open_budgets();
  core_ = std::make_unique<core::Exchanges>(
      config.settings,
      core::Surroundings{clock_, servers_, routes_, peers_, [this](const core::Tally& tally) { record(tally); },
                         beliefs_.get()},
      tracing::traced(make_decider(), [this](ReplicaId id) { return uid_of(id); }));
  clock_.wake = [this] { core_->wake(); };
  servers_.serve(*core_);
  if (!config_.added.catalogue.empty()) {
    names_.model = [this](std::string_view name) { return config_.added.catalogue.find(name); };
  }
  // Beliefs come before the list, or their boxes would be others. What a store gave stands: it is as new, and holds more.
  Learned learned;
  if (!estate.learned.empty() &&
      !keeping::take_over(estate.learned, net::now_us(), learned, keeper_ ? nullptr : beliefs_.get())) {
    logging::warning("handover") << "what the predecessor learned cannot be read";
  }
  // The predecessor's list is of now; the configuration's may be old.
  if (const std::string& list = estate.list.empty() ? config.known : estate.list; !list.empty()) {
    simdjson::dom::parser parser;
    simdjson::dom::element known;
    if (parser.parse(list).get(known) == simdjson::SUCCESS) routes_.start_from(known);
  }
  core_->learn(learned);
  if (estate.drained) life_.leave(net::now_us());
  open_front(config.listen, fronts::platform(), estate);
  if (!config.added.messages_listen.empty()) open_front(config.added.messages_listen, fronts::messages(), estate);
  if (config.ops.empty()) return;
  door_ = std::make_unique<net::Door>(config.ops, [this](std::string_view line) { return answer_call(line); });
  logging::info("main") << "operators call at " << door_->address();
  descriptor_limit_ = net::descriptors().limit;
  if (estate.line) {
    net::descriptors().limit -= std::min(net::descriptors().limit / 2, estate.held);
    open_handover(std::move(estate.line));
  } else {
    host();
  }
}

net::Servers::Options Node::server_options() {
  net::Servers::Options options;
  options.keepalive = config_.keepalive;
  options.dial_limit = config_.dial_limit;
  options.silence_limit = config_.silence_limit;
  options.report_names = config_.report_fields;
  options.most_connections =
      static_cast<std::size_t>(kEgressPart * static_cast<double>(net::descriptors().limit));
  options.most_frame = std::clamp(config_.memory_mb * 1024 * 1024 / kAnswerPart / options.most_connections,
                                  kLeastOnTheWay, kMostOnTheWay);
  options.sent = [this] { figures_.sent(); };
  options.dialect = &dialect_named(config_.added.target_dialect);
  for (const auto& [uid, name] : config_.added.targets) options.by_name[uid] = &dialect_named(name);
  if (!config_.added.catalogue.empty()) {
    options.model_name = [this](std::uint16_t number) {
      const auto& models = config_.added.catalogue.models;
      const bool as_asked = number > 0 && number <= models.size() && models[number - 1u].any_name;
      return as_asked ? std::string() : model_name(number);
    };
  }
  return options;
}

net::Clients::Options Node::client_options() {
  net::Clients::Options options;
  const auto limit = static_cast<double>(net::descriptors().limit);
  const auto part = [&](double share) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(share * limit));
  };
  options.most_connections = config_.most_clients > 0 ? config_.most_clients : part(kClientPart);
  options.most_lines = std::max(part(1 - kEgressPart), options.most_connections + 1);
  const std::size_t memory = config_.memory_mb * 1024 * 1024;
  options.most_body_bytes = memory / kBodyPart;
  options.congested =
      std::clamp(memory / kAnswerPart / options.most_connections, kLeastOnTheWay, kMostOnTheWay);
  options.crowded_absence =
      config_.settings.retry_after ? std::min(kCrowdedAbsence, config_.settings.max_retry_after) : 0;
  options.life = &life_;
  options.shared = !config_.ops.empty();
  options.turned_away = [this](std::string_view cls) { figures_.ended(cls, figures::State::deferred); };
  if (!config_.added.catalogue.empty()) options.model_name = [this](std::uint16_t number) { return model_name(number); };
  return options;
}

void Node::open_front(const std::string& address, const fronts::Dialect& speaks, net::Estate& estate) {
  auto options = client_options();
  options.listening = std::move(estate.sockets[address]);
  options.address = address;
  options.dialect = &speaks;
  fronts_.push_back(std::make_unique<net::Clients>(std::move(options), names_, *core_, commons_));
  logging::info("main") << speaks.name() << " front on " << fronts_.back()->address();
}

// How operators count an ending; nothing where nobody was left to answer.
std::optional<figures::State> state_of(core::Ending ending) {
  switch (ending) {
    case core::Ending::served: return figures::State::answered;
    case core::Ending::shed: return figures::State::deferred;
    case core::Ending::client_gone: return std::nullopt;
    default: return figures::State::errored;
  }
}

void Node::record(const core::Tally& tally) {
  if (const auto state = state_of(tally.ending)) figures_.ended(tally.request.cls, *state);
  const bool told = logging::threshold() <= logging::Level::debug;
  if (!flows_ && !told) return;
  const net::Route* route = tally.hops == 0 ? nullptr : routes_.find(tally.last_target);
  if (told && tally.ending == core::Ending::served) {
    using logging::field;
    const std::string target = route == nullptr ? "one that has gone" : route->uid;
    logging::debug("exchange").with("exchange", tally.request.id).with("hop", tally.hops)
        << "served by " << field("target", target) << ", prompt=" << field("prompt", tally.usage.prompt)
        << " kept=" << field("kept", tally.usage.kept)
        << " believed=" << field("believed", static_cast<std::uint64_t>(tally.request.belief.tokens))
        << " why=" << field("reason", why_chosen(tally));
  }
  if (!flows_) return;
  flows_->add(tally, route == nullptr ? std::string_view() : route->uid);
}

std::string Node::uid_of(ReplicaId target) const {
  const net::Route* route = routes_.find(target);
  return route == nullptr ? std::to_string(target) : route->uid;
}

// A store that cannot be opened costs nothing but what it would have kept: the router serves without.
void Node::open_store() {
  const StoreFile& asked = config_.added.store;
  const bool budgets = !config_.added.budgets.budgets.empty();
  if (asked.file.empty() || (!beliefs_ && !budgets)) return;
  try {
    store::WriterOptions options;
    options.changes = asked.changes;
    options.most_waiting = std::max<std::size_t>(options.most_waiting, 2 * asked.changes);
    options.most_bytes = config_.memory_mb * 1024 * 1024 / kStorePart / 3;
    keeper_ = std::make_unique<keeping::Keeper>(
        store::FileOptions{.path = asked.file, .holder = config_.name, .megabytes = asked.megabytes}, options,
        [this](ReplicaId id) { return uid_of(id); });
    if (!keeper_->file().set_aside().empty()) {
      ++store_troubles_;
      logging::error("store") << asked.file << " is damaged; set aside as " << keeper_->file().set_aside()
                              << ", beginning with an empty one";
    }
    if (beliefs_) {
      const auto loaded = keeper_->load(*beliefs_, net::now_us());
      logging::info("store") << asked.file << " gave " << loaded.sessions << " sessions, " << loaded.prefixes
                             << " prefixes and " << loaded.boxes << " boxes; " << loaded.unreadable << " unreadable, "
                             << loaded.no_room << " without room";
    }
    tend_store();
  } catch (const store::StoreError& problem) {
    ++store_troubles_;
    keeper_.reset();
    logging::error("store") << "nothing is kept: " << problem.what();
  }
}

// ---------------------------------------------------------------- models and budgets

void Node::open_budgets() {
  const BudgetsFile& file = config_.added.budgets;
  if (file.budgets.empty() && !file.fair) return;
  if (keeper_ && !file.budgets.empty()) {
    budget_keeper_ = std::make_unique<keeping::BudgetKeeper>(keeper_->file(), keeper_->writer());
  }
  treasury_ = std::make_unique<budgets::Treasury>(budget_options(config_), budget_keeper_.get());
  for (const auto& model : config_.added.catalogue.models) treasury_->prices.push_back(model.price);
  if (file.charges) treasury_->on_charge = [this](const budgets::Charge& charge) { charged(charge); };
  if (budget_keeper_) {
    const auto loaded = budget_keeper_->load(treasury_->accounts);
    logging::info("budgets") << config_.added.store.file << " gave " << loaded.accounts << " accounts; "
                             << loaded.unreadable << " unreadable";
  }
  if (file.fair) {
    budgets::FairOptions options;
    for (const auto& tenant : config_.settings.tenants) options.weights.push_back(std::max(1e-6, tenant.share));
    fair_ = std::make_unique<budgets::FairShare>(options);
  }
}

std::unique_ptr<core::Decider> Node::make_gated(const Settings& settings, Time now) {
  auto module = core::make_module(settings, now);
  if (!treasury_) return module;
  return std::make_unique<budgets::Gate>(std::move(module), *treasury_, fair_.get());
}

std::unique_ptr<core::Decider> Node::make_decider() {
  const Time now = net::now_us();
  if (config_.added.catalogue.empty()) return make_gated(config_.settings, now);
  models::Pools::Options options;
  options.settings = config_.settings;
  options.catalogue = config_.added.catalogue;
  options.names_of = [this](ReplicaId id) {
    const net::Route* route = routes_.find(id);
    return route == nullptr ? models::BoxNames{} : models::BoxNames{route->uid, route->model, route->group};
  };
  options.make = [this](const Settings& settings, Time then, models::Number) { return make_gated(settings, then); };
  auto pools = std::make_unique<models::Pools>(std::move(options), now);
  pools_ = pools.get();
  return pools;
}

std::string Node::model_name(std::uint16_t number) const {
  const auto& models = config_.added.catalogue.models;
  return number == 0 || number > models.size() ? std::string() : models[number - 1u].name;
}

void Node::charged(const budgets::Charge& c) const {
  using logging::field;
  const auto name = [](const std::vector<std::string>& names, std::size_t place) {
    return place < names.size() ? names[place] : std::to_string(place);
  };
  logging::info("charge").with("exchange", c.exchange).with("hop", c.hop + 1)
      << "member=" << field("member", name(config_.tenants, c.who.member)) << " class="
      << field("class", name(config_.classes, c.who.cls)) << " model=" << field("model", model_name(c.who.model))
      << " target=" << field("target", uid_of(c.replica)) << " prompt=" << field("prompt", c.prompt)
      << " kept=" << field("kept", c.kept) << " made=" << field("made", c.made)
      << " thousandths=" << field("thousandths", c.units) << " by=" << field("by", c.told ? "tally" : "rule");
}

void Node::print_models(std::ostream& line) const {
  if (treasury_) {
    const auto& f = treasury_->accounts.figures();
    line << " budget_accounts=" << treasury_->accounts.size() << " budget_granted=" << f.granted
         << " budget_denied=" << f.denied << " budget_behind=" << f.behind << " budget_over_soft=" << f.over_soft
         << " budget_charges=" << f.charges << " budget_charged=" << f.charged / budgets::kUnitsPerToken
         << " budget_reserved=" << f.reserved / budgets::kUnitsPerToken << " budget_shared=" << f.shared;
  }
  if (pools_ == nullptr) return;
  static constexpr std::pair<models::When, const char*> reasons[] = {{models::When::missing, "missing"},
                                                                     {models::When::overloaded, "overloaded"},
                                                                     {models::When::over_budget, "over_budget"},
                                                                     {models::When::too_long, "too_long"}};
  const auto& f = pools_->figures();
  for (const auto& [reason, name] : reasons) {
    const auto found = f.fallbacks.find(reason);
    line << " fallback_" << name << "=" << (found == f.fallbacks.end() ? 0 : found->second);
  }
  line << " fallback_forbidden=" << f.forbidden << " fallback_no_budget=" << f.no_budget
       << " fallback_not_borne=" << f.not_borne << " fallback_no_time=" << f.no_time
       << " fallback_no_hops=" << f.no_hops << " adapter_moves=" << f.placements;
}

// Twice within the time in which changes are to be durable: one turn of gathering, one of writing.
void Node::tend_store() {
  const auto half = static_cast<Time>(config_.added.store.sync_s * 1e6 / 2);
  store_tick_.start(std::max<Time>(half, 1000), [this] {
    keeper_->writer().hand_over();
    const auto figures = keeper_->writer().figures();
    if (figures.failing && !store_failing_) {
      ++store_troubles_;
      logging::error("store") << "cannot write, and goes on trying: " << figures.problem;
    } else if (!figures.failing && store_failing_) {
      logging::info("store") << "writes again";
    }
    store_failing_ = figures.failing;
    tend_store();
  });
}

bool Node::save(Time most) {
  if (budget_keeper_) treasury_->accounts.keep_all(net::now_us());
  return !keeper_ || keeper_->writer().drain(std::chrono::milliseconds(most / 1000));
}

void Node::fleet_lost(Time) {
  logging::warning("affinity") << "kept copies are gone over the whole fleet: believing none until boxes prove it";
}
void Node::box_lost(Time, ReplicaId box) {
  logging::warning("affinity") << "kept copies are gone at " << logging::field("target", uid_of(box)) << ": not believed until it proves it";
}
void Node::box_regained(Time, ReplicaId box) {
  logging::info("affinity") << "kept copies are found again at " << logging::field("target", uid_of(box));
}

// ---------------------------------------------------------------- operators

std::string Node::figures() const {
  return figures_.text({.current = core_->open(), .cluster_size = routes_.listed(), .cluster_unhealthy = core_->left_out().size()});
}

std::string Node::answer_call(std::string_view line) {
  const Time now = net::now_us();
  const auto said = [this](bool yes) {
    return (yes ? "+OK " : "-ERR ") + std::string(life::name_of(life_.phase())) + "\n";
  };
  if (line == "HEALTH") return said(life_.able(now));
  if (line == "DUMP") return "+OK\n" + figures() + ".\n";
  if (line != "LEAVE" && line != "JOIN") return {};
  const bool done = line == "LEAVE" ? life_.leave(now) : life_.join();
  if (done) phase_changed(line == "LEAVE" ? "LEAVE was called" : "JOIN was called");
  return said(done);
}

void Node::phase_changed(const char* why) {
  logging::info("main") << life::name_of(life_.phase()) << ": " << why << ", " << core_->open() << " exchanges open";
  for (auto& front : fronts_) front->phase_changed();
}

void Node::reload(const Config& config) {
  check_config(config);
  if (const auto names = needs_restart(config_, config); !names.empty()) {
    logging::warning("main") << "only a restart brings what is new in: " << names;
  }
  ++reloads_;
  take_models(config);
  if (config.discovery == config_.discovery) return;
  logging::info("main") << "discovery moves from " << config_.discovery << " to " << config.discovery;
  config_.discovery = config.discovery;
  routes_.turn_to(config.discovery);
}

// Models, budgets and prices of a file read again hold at once. What is open goes on; what was used stays used.
void Node::take_models(const Config& config) {
  const Time now = net::now_us();
  if (pools_ != nullptr && !config.added.catalogue.empty()) {
    config_.added.catalogue = models::renumbered(config_.added.catalogue, config.added.catalogue);
    pools_->change(now, config_.added.catalogue);
    logging::info("models") << config_.added.catalogue.models.size() << " models known";
  }
  if (!treasury_ || config.added.budgets.budgets.empty() != config_.added.budgets.budgets.empty()) return;
  config_.added.budgets.budgets = config.added.budgets.budgets;
  config_.added.budgets.soft_worth = config.added.budgets.soft_worth;
  treasury_->accounts.change(budget_options(config_), now);
  treasury_->prices.clear();
  for (const auto& model : config_.added.catalogue.models) treasury_->prices.push_back(model.price);
}

void Node::wind_down() {
  quiet_since_ = net::now_us();
  life_.terminate(quiet_since_);
  phase_changed("the process is to end");
  watch_quiet();
}

void Node::watch_quiet() {
  quiet_.start(kQuiet / 10, [this] {
    const bool busy = core_->open() > 0 || std::any_of(fronts_.begin(), fronts_.end(),
                                                       [](auto& f) { return f->connections() > 0; });
    if (busy) quiet_since_ = net::now_us();
    // With a successor nobody comes here any more.
    const Time quiet = life_.phase() == life::Phase::handed_over ? 0 : kQuiet;
    if (!busy && net::now_us() - quiet_since_ >= quiet) return done_();
    watch_quiet();
  });
}

// ---------------------------------------------------------------- replacing the process

// The new process: it says that it serves as soon as it does, and hosts in its turn once the path is free.
void Node::open_handover(net::Owned<GSocket> line) {
  const auto alone = [this] {
    net::descriptors().limit = descriptor_limit_;
    predecessor_.reset();
    if (!host_) host();
  };
  predecessor_ = std::make_unique<net::Predecessor>(
      std::move(line), net::Predecessor::Callbacks{.yielded =
                                                       [this](bool drained) {
                                                         if (drained && life_.leave(net::now_us())) phase_changed("the predecessor was drained");
                                                         if (!host_) host();
                                                       },
                                                   .gone = [this, alone] {
                                                     logging::info("handover") << "the predecessor has gone";
                                                     serving_.start(0, alone);  // not within its own callback
                                                   }});
  serving_.start(0, [this] { say_serving(); });
}

void Node::say_serving() {
  if (!predecessor_) return;
  if (!life_.able(net::now_us())) return serving_.start(kLookAgain, [this] { say_serving(); });
  predecessor_->serving();
  logging::info("handover") << "serving in the place of the predecessor";
}

void Node::host() {
  const std::string path = handover_path(config_);
  if (path.empty()) return;
  try {
    host_ = std::make_unique<net::Host>(
        path, net::Host::Callbacks{.offer = [this] { return offer(); },
                                   .serving =
                                       [this] {
                                         handed_over();
                                         return life_.drained();
                                       },
                                   .lost = [this] { taken_back(); }});
  } catch (const net::NetError& problem) {
    logging::warning("handover") << problem.what();
  }
}

// Both processes together may hold what one may: this one keeps what it holds and a little for what it finishes.
net::Estate Node::offer() {
  net::Estate estate;
  const auto lend = [&](const std::string& name, GSocket* socket) {
    if (socket != nullptr) estate.sockets[name].reset(G_SOCKET(g_object_ref(socket)));
  };
  lend(config_.listen, fronts_.front()->socket());
  if (fronts_.size() > 1) lend(config_.added.messages_listen, fronts_.back()->socket());
  lend(config_.peer_listen, peers_.socket());
  estate.drained = life_.drained();
  estate.held = std::min(descriptor_limit_, net::descriptors().held + descriptor_limit_ / kSparePart);
  estate.list = routes_.list();
  estate.learned = keeping::pass_on(core_->decider().learned(), beliefs_.get());
  net::descriptors().limit = estate.held;
  return estate;
}

void Node::handed_over() {
  life_.hand_over(net::now_us());
  if (predecessor_) predecessor_->passed_on();
  peers_.listen(false);
  phase_changed("a successor serves");
  quiet_since_ = net::now_us();
  watch_quiet();
}

void Node::taken_back() {
  const bool handed = life_.phase() == life::Phase::handed_over;
  net::descriptors().limit = descriptor_limit_;
  if (!handed) return;
  life_.take_back();
  peers_.listen(true);
  quiet_since_ = net::now_us();
  if (life_.phase() != life::Phase::winding_down) quiet_.stop();
  phase_changed("the successor is gone");
}

void Node::print_counters(std::ostream& line) const {
  const auto& c = core_->counters();
  line << "taken=" << c.taken << " open=" << core_->open() << " hops=" << c.hops << " served=" << c.served
       << " shed=" << c.shed << " failed=" << c.failed << " timed_out=" << c.timed_out
       << " broken=" << c.broken << " gone=" << c.gone;
  static constexpr const char* outcomes[] = {"served",         "error", "full",      "timed_out",
                                             "connect_failed", "reset", "cancelled", "not_sent"};
  for (const auto& [outcome, count] : c.outcomes) {
    line << " hop_" << outcomes[static_cast<int>(outcome)] << "=" << count;
  }
  for (const auto& front : fronts_) {
    const auto& f = front->counters();
    line << " accepted=" << f.accepted << " bad=" << f.bad << " health=" << f.health
         << " crowded=" << f.crowded << " mute=" << f.silent << " evicted=" << f.evicted
         << " clients=" << front->connections();
  }
  const auto& s = servers_.counters();
  line << " opened=" << s.opened << " reused=" << s.reused << " lines=" << servers_.connections()
       << " silent=" << s.silent << " no_descriptor=" << s.no_descriptor
       << " drained_meanwhile=" << s.drained_meanwhile << " probes=" << s.probes << " spoilt=" << s.spoilt
       << " unclean=" << s.unclean;
  const auto& d = routes_.counters();
  line << " list_calls=" << d.calls << " list_failures=" << d.failures << " list_entries=" << d.changes
       << " list_bad=" << d.bad << " list_old=" << d.old;
  print_models(line);
  line << " phase=" << life::name_of(life_.phase()) << " sends=" << figures_.sends();
  if (door_) line << " calls=" << door_->counters().calls << " bad_calls=" << door_->counters().bad << " silent_calls=" << door_->counters().silent;
  line << " reloads=" << reloads_;
  if (flows_) line << " flow_records=" << flows_->sent();
}

void Node::tell_boxes(const std::function<void(const std::string&)>& line) const {
  if (!beliefs_) return;
  std::vector<const affinity::Box*> boxes;
  beliefs_->boxes().for_each([&](affinity::Slot, const affinity::Box& box) { boxes.push_back(&box); });
  std::stable_sort(boxes.begin(), boxes.end(), [](auto* a, auto* b) {
    return std::pair(a->standing, a->losses) > std::pair(b->standing, b->losses);
  });
  if (boxes.size() > kMostBoxLines) boxes.resize(kMostBoxLines);
  for (const auto* box : boxes) {
    const auto [low, high] = box->calibration.bounds(kBoundsConfidence);
    std::ostringstream text;
    text << uid_of(box->id) << (box->standing == affinity::Standing::trusted ? " trusted" : " probing")
         << " hits=" << box->hits << " misses=" << box->misses << " losses=" << box->losses << " hit_rate="
         << std::round(low * 1000) / 1000 << ".." << std::round(high * 1000) / 1000
         << " half_life_tokens=" << static_cast<std::uint64_t>(box->survival.half_life());
    line(text.str());
  }
}

}  // namespace sprucecourse
