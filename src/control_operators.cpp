/// The control host's HTTP side: operators' records, reports and status.

#include "control_role.h"
#include "hickorypost/records/record_parser.h"
#include "hickorypost/wire/codec.h"
#include "secret.h"

#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

using nlohmann::json;

constexpr std::string_view json_type = "application/json";
constexpr std::uint32_t records_group = 0;

void respond_json(http_exchange& to, unsigned status, const json& body)
{
    to.respond(status, json_type, {},
               body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

std::string_view name_of(records::change_status status)
{
    switch (status) {
    case records::change_status::accepted:
        return "accepted";
    case records::change_status::number_taken:
        return "number_taken";
    case records::change_status::stale:
        return "stale";
    case records::change_status::missing:
        return "missing";
    case records::change_status::exists:
        return "exists";
    case records::change_status::id_reused:
        return "id_reused";
    case records::change_status::invalid:
        return "invalid";
    }
    return "unknown";
}

json json_of(const records::change_result& result)
{
    json out = {{"status", name_of(result.status)},
                {"index", result.index},
                {"number", result.number},
                {"winner", result.winner}};
    if (!result.detail.empty()) {
        out["detail"] = result.detail;
    }
    return out;
}

std::string_view name_of(records::rollout_state state)
{
    switch (state) {
    case records::rollout_state::running:
        return "running";
    case records::rollout_state::halted:
        return "halted";
    case records::rollout_state::completed:
        return "completed";
    }
    return "unknown";
}

std::string_view name_of(replog::replica_role role)
{
    switch (role) {
    case replog::replica_role::fresh:
        return "fresh";
    case replog::replica_role::learner:
        return "learner";
    case replog::replica_role::follower:
        return "follower";
    case replog::replica_role::pre_candidate:
    case replog::replica_role::candidate:
        return "candidate";
    case replog::replica_role::leader:
        return "leader";
    }
    return "unknown";
}

std::int64_t number_or(const std::string& text, std::int64_t fallback)
{
    return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

/// A roll-out that names versions which no record prices would run unbilled.
std::string missing_reference(const records::parsed_record& parsed,
                              const records::records_state& state)
{
    const auto* rollout = std::get_if<records::rollout_record>(&parsed.body);
    if (rollout == nullptr) {
        return {};
    }
    for (const auto& version : {rollout->from, rollout->to}) {
        if (state.version({rollout->model, version}) == nullptr) {
            return "version " + version + " of a model record " + rollout->model;
        }
    }
    return {};
}

} // namespace

void control_role::on_http(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->respond(200, "text/plain", {}, "ok\n");
        return;
    }
    if (path == "/readyz") {
        const bool ready = !draining_ && records().replica().fresh(env_.now());
        exchange->respond(ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n");
        return;
    }
    if (path == "/metrics") {
        exchange->respond(200, "text/plain; version=0.0.4", {}, env_.metrics.text());
        return;
    }
    const auto key = bearer_key(exchange->header("Authorization"));
    if (!equal_in_constant_time(sha256_hex(key), config_.operator_key_sha256)) {
        respond_json(*exchange, 401, {{"error", "not an operator's key"}});
        return;
    }
    const bool post = exchange->method() == "POST";
    if (path == "/v1/records" && post) {
        post_record(exchange);
    } else if (path == "/v1/records") {
        get_records(exchange);
    } else if (path == "/v1/report") {
        get_report(exchange);
    } else if (path == "/v1/status") {
        get_status(exchange);
    } else {
        respond_json(*exchange, 404, {{"error", "no such resource"}});
    }
}

void control_role::answer_not_leader(const std::shared_ptr<http_exchange>& exchange,
                                     std::uint32_t group)
{
    // Not 421: client libraries resend a misdirected request by themselves, without its body.
    respond_json(*exchange, 503,
                 {{"error", "this control host does not lead the group"},
                  {"leader", groups_[group].group->core().leader()}});
}

void control_role::post_record(const std::shared_ptr<http_exchange>& exchange)
{
    records::record_change change;
    change.change_id = exchange->query("change");
    change.amends = static_cast<std::uint64_t>(number_or(exchange->query("amends"), 0));
    change.document = exchange->body();
    std::string fault;
    auto parsed = value_or_handle<records::record_error>(
        [&]() -> result<std::optional<records::parsed_record>> {
            BOOST_LEAF_AUTO(it, records::parse_record(change.document, "document"));
            return std::optional{std::move(it)};
        },
        [&](const records::record_error& error) {
            fault = records::describe(error);
            return std::optional<records::parsed_record>{};
        });
    if (!parsed || change.change_id.empty()) {
        respond_json(*exchange, 400,
                     {{"status", "invalid"},
                      {"detail", parsed ? "expected a change id (?change=ID)" : fault}});
        return;
    }
    if (const auto missing = missing_reference(*parsed, records().replica().state());
        !missing.empty()) {
        respond_json(*exchange, 400, {{"status", "invalid"}, {"detail", "expected " + missing}});
        return;
    }
    change.kind = records::name_of(parsed->kind);
    change.name = parsed->name;
    change.number = parsed->number;
    const records::records_command command{std::move(change), std::nullopt};
    exchange->on_gone([] {});
    groups_[records_group].group->propose(
        wire::encode(command), env_.wall(), env_.now(),
        [this, exchange](const replog::group_answer& answer) {
            if (answer.status == replog::group_status::not_leader) {
                answer_not_leader(exchange, records_group);
                return;
            }
            if (answer.status == replog::group_status::unavailable) {
                respond_json(*exchange, 503,
                             {{"status", "unknown"},
                              {"detail", "no quorum; send the same change id again"}});
                return;
            }
            const auto result = wire::try_decode<records::change_result>(answer.result);
            const auto value = result.value_or(records::change_result{});
            const bool good = value.status == records::change_status::accepted;
            respond_json(*exchange, good ? 200 : 409, json_of(value));
        });
}

void control_role::get_records(const std::shared_ptr<http_exchange>& exchange)
{
    if (!groups_[records_group].group->leads(env_.now())) {
        answer_not_leader(exchange, records_group);
        return;
    }
    json out = json::array();
    for (const auto& it : records().replica().state().list()) {
        out.push_back({{"kind", it.kind},
                       {"name", it.name},
                       {"number", it.number},
                       {"change", it.change_id},
                       {"index", it.index},
                       {"state", in_force(it.index) ? "in force everywhere" : "accepted"},
                       {"document", json::parse(it.document, nullptr, false)}});
    }
    respond_json(*exchange, 200, out);
}

void control_role::get_report(const std::shared_ptr<http_exchange>& exchange)
{
    const auto number = static_cast<std::uint32_t>(number_or(exchange->query("group"), 1));
    if (number == records_group || number >= groups_.size()) {
        respond_json(*exchange, 404, {{"error", "no such ledger group"}});
        return;
    }
    ledger::report_query query;
    query.from_ms = number_or(exchange->query("from"), 0);
    query.to_ms = number_or(exchange->query("to"), 0);
    query.account = exchange->query("account");
    query.details = exchange->query("details") == "1";
    groups_[number].group->read(
        wire::encode(query), env_.now(), [&](const replog::group_answer& answer) {
            if (answer.status == replog::group_status::not_leader) {
                answer_not_leader(exchange, number);
                return;
            }
            if (answer.status == replog::group_status::unavailable) {
                respond_json(*exchange, 503, {{"error", "no quorum just now; ask again"}});
                return;
            }
            const auto report = wire::try_decode<ledger::report_answer>(answer.result);
            json rows = json::array();
            for (const auto& it : report->rows) {
                rows.push_back({{"account", it.account},
                                {"model", it.target.model},
                                {"version", it.target.version},
                                {"hour_ms", it.hour_ms},
                                {"outcome", ledger::name_of(it.outcome)},
                                {"requests", it.requests},
                                {"runs", it.runs},
                                {"prompt_tokens", it.used.prompt_tokens},
                                {"cached_tokens", it.used.cached_tokens},
                                {"completion_tokens", it.used.completion_tokens},
                                {"cost", it.cost},
                                {"first_ms_sum", it.first_ms_sum},
                                {"total_ms_sum", it.total_ms_sum}});
            }
            json details = json::array();
            for (const auto& it : report->details) {
                details.push_back({{"account", it.key.account},
                                   {"request", it.key.request},
                                   {"model", it.target.model},
                                   {"version", it.target.version},
                                   {"outcome", it.closed ? ledger::name_of(it.outcome) : "open"},
                                   {"cost", it.cost},
                                   {"wall_ms", it.wall_ms}});
            }
            respond_json(*exchange, 200,
                         {{"groups", groups_.size() - 1},
                          {"rows", rows},
                          {"details", details},
                          {"open", report->open},
                          {"duplicate_usage", report->duplicate_usage},
                          {"wasted_tokens", report->wasted_tokens},
                          {"facts", report->facts}});
        });
}

void control_role::get_status(const std::shared_ptr<http_exchange>& exchange)
{
    const instant now = env_.now();
    json groups = json::array();
    for (std::uint32_t n = 0; n < groups_.size(); ++n) {
        const auto& core = groups_[n].group->core();
        json voters = json::array();
        for (const auto& it : core.config().voters) {
            voters.push_back(it.node);
        }
        json learners = json::array();
        for (const auto& it : core.config().learners) {
            learners.push_back(it.node);
        }
        groups.push_back({{"group", n},
                          {"role", name_of(core.role())},
                          {"leader", core.leader()},
                          {"lease", groups_[n].group->leads(now)},
                          {"term", core.term()},
                          {"commit", core.commit_index()},
                          {"applied", groups_[n].group->applied_index()},
                          {"voters", voters},
                          {"learners", learners}});
    }
    json agents = json::array();
    for (const auto& it : directory_.list()) {
        json backends = json::array();
        for (const auto& backend : it.backends) {
            json offers = json::array();
            for (const auto& offer : backend.offers) {
                offers.push_back(offer.model + "@" + offer.version);
            }
            backends.push_back({{"name", backend.name},
                                {"offers", offers},
                                {"slots", backend.slots},
                                {"leaving", backend.leaving}});
        }
        agents.push_back({{"node", it.node},
                          {"failure_domain", it.failure_domain},
                          {"leaving", it.leaving},
                          {"backends", backends}});
    }
    json rollouts = json::array();
    for (const auto& [name, it] : rollouts_.tracked_rollouts()) {
        rollouts.push_back({{"name", name},
                            {"model", it.record.model},
                            {"from", it.record.from},
                            {"to", it.record.to},
                            {"state", name_of(it.progress.state)},
                            {"reason", it.progress.reason},
                            {"granted", it.granted},
                            {"judged", it.judged},
                            {"bound", it.bound},
                            {"candidate",
                             {{"answers", it.candidate_errors.answers},
                              {"bad", it.candidate_errors.bad},
                              {"rated", it.candidate_ratings.answers},
                              {"rated_bad", it.candidate_ratings.bad}}},
                            {"incumbent",
                             {{"answers", it.incumbent_errors.answers},
                              {"bad", it.incumbent_errors.bad},
                              {"rated", it.incumbent_ratings.answers},
                              {"rated_bad", it.incumbent_ratings.bad}}}});
    }
    respond_json(*exchange, 200,
                 {{"node", env_.config.node.name},
                  {"records_index", records().replica().state().index()},
                  {"fresh", records().replica().fresh(now)},
                  {"groups", groups},
                  {"agents", agents},
                  {"rollouts", rollouts}});
}

} // namespace hickorypost
