/// First phase of a request: reads headers and body, identifies the client account, applies its
/// limits and resolves the model version or service.

#include "hickorypost/dispatch/request_flow.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickorypost::dispatch {

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t prefix_bytes = 512;
constexpr millis not_fresh_retry{500};

/// Parses a decimal number of milliseconds of at most 9 digits; nullopt if `text` is anything else.
std::optional<millis> parse_millis(std::string_view text)
{
    if (text.empty() || text.size() > 9 ||
        text.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    return millis{std::strtoll(std::string{text}.c_str(), nullptr, 10)};
}

bool is_true(std::string_view text)
{
    return text == "true" || text == "1" || text == "yes";
}

} // namespace

bool request_flow::read_headers()
{
    fact_.started_wall_ms = services_.wall();
    const auto parent = telemetry::trace_context::parse(input_.traceparent);
    trace_ = parent ? parent->child(services_.random)
                    : telemetry::trace_context::make_new(services_.random);
    parent_span_ = parent ? parent->span_id : std::string{};
    const auto key = input_.idempotency_key;
    fact_.key.request = key.empty() ? random_hex(services_.random) : std::string{key};
    service_ = input_.path.starts_with(services_prefix);
    non_idempotent_ = is_true(input_.non_idempotent);
    key_given_ = !key.empty();
    session_ = input_.session;
    task_ = input_.task;
    const auto timeout_text = input_.timeout_ms;
    const auto timeout =
        timeout_text.empty() ? services_.default_timeout : parse_millis(timeout_text);
    deadline_ = arrived_ + timeout.value_or(millis{0});
    if (key.size() > max_key_bytes || session_.size() > max_key_bytes) {
        fail(400, "bad_header", "Idempotency-Key and Hickorypost-Session hold at most 256 bytes",
             told_outcome::not_run);
        return false;
    }
    if (!timeout || *timeout <= millis{0}) {
        fail(400, "bad_header", "Hickorypost-Timeout-Ms: expected a whole number of milliseconds",
             told_outcome::not_run);
        return false;
    }
    return true;
}

bool request_flow::identify()
{
    if (!services_.fresh()) {
        // If the local records are stale, a version may have been withdrawn without this entry
        // knowing.
        fail(503, "not_fresh", "this entry has no current records from the control hosts",
             told_outcome::not_run, not_fresh_retry);
        return false;
    }
    const auto* account = services_.records().account_by_key_hash(input_.key_sha256);
    if (input_.key_sha256.empty() || account == nullptr) {
        fail(401, "unknown_account", "expected Authorization: Bearer with a client account's key",
             told_outcome::not_run);
        return false;
    }
    fact_.key.account = account->name;
    return true;
}

bool request_flow::read_chat_body()
{
    if (input_.path != chat_path) {
        fail(404, "not_found", "no such resource", told_outcome::not_run);
        return false;
    }
    if (input_.method != "POST") {
        fail(405, "bad_method", "expected POST", told_outcome::not_run);
        return false;
    }
    body_ = std::move(input_.body);
    const auto json = nlohmann::json::parse(body_, nullptr, false);
    if (!json.is_object() || !json.contains("model") || !json["model"].is_string()) {
        fail(400, "bad_json", "body: expected a JSON object with the key model (a string)",
             told_outcome::not_run);
        return false;
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        fail(400, "bad_json", "body: stream: expected true or false", told_outcome::not_run);
        return false;
    }
    model_name_ = json["model"].get<std::string>();
    stream_ = json.value("stream", false);
    constexpr double bytes_per_token = 4;
    prompt_tokens_ = static_cast<double>(body_.size()) / bytes_per_token;
    const auto messages = body_.find("\"messages\"");
    prefix_ = hash_bytes(session_.empty()
                             ? std::string_view{body_}.substr(
                                   messages == std::string::npos ? 0 : messages, prefix_bytes)
                             : std::string_view{session_});
    return true;
}

bool request_flow::read_service_path()
{
    const std::string path = input_.path.substr(services_prefix.size());
    const auto slash = path.find('/');
    model_name_ = path.substr(0, slash);
    service_path_ = slash == std::string::npos ? "/" : path.substr(slash);
    method_ = input_.method;
    body_ = std::move(input_.body);
    return true;
}

bool request_flow::admit()
{
    const auto* account = services_.records().account(fact_.key.account);
    const auto answer = services_.limiter.admit(
        account->name, {account->rate_per_s, account->burst, account->max_in_flight}, arrived_);
    if (!answer.admitted) {
        fail(429, "rate_limited", "the account's rate or concurrency limit is reached",
             told_outcome::not_run, answer.retry_after);
        return false;
    }
    admitted_ = true;
    return true;
}

bool request_flow::resolve()
{
    const auto& records = services_.records();
    if (service_) {
        const auto verdict = records.check_service(fact_.key.account, model_name_);
        if (verdict != records::verdict::allowed) {
            fail(verdict == records::verdict::unknown_version ? 404 : 403, "forbidden_service",
                 "the account may not use this service", told_outcome::not_run);
            return false;
        }
        non_idempotent_ = non_idempotent_ || !records.service(model_name_)->repeatable;
        stages_ = {{model_name_, {}}};
        return true;
    }
    if (const auto* cascade = records.cascade(model_name_); cascade != nullptr) {
        cascade_ = true;
        fact_.cascade = cascade->name;
        accept_rating_ = cascade->accept_rating;
        for (auto stage : cascade->stages) {
            if (stage.version.empty()) {
                stage.version = records.current_version(stage.model);
            }
            if (records.check(fact_.key.account, stage) == records::verdict::allowed) {
                stages_.push_back(std::move(stage));
            }
        }
        if (stages_.empty()) {
            fail(403, "forbidden_model", "the account may use no stage of this cascade",
                 told_outcome::not_run);
            return false;
        }
        return true;
    }
    const auto at = model_name_.find('@');
    model_version wanted{model_name_.substr(0, at),
                         at == std::string::npos ? std::string{} : model_name_.substr(at + 1)};
    if (records.model(wanted.model) == nullptr) {
        fail(404, "unknown_model", "no such model", told_outcome::not_run);
        return false;
    }
    if (wanted.version.empty()) {
        wanted.version = records.current_version(wanted.model);
        if (const auto* rollout = records.rollout_of(wanted.model); rollout != nullptr) {
            const model_version candidate{wanted.model, rollout->to};
            const bool known =
                !session_.empty() &&
                services_.sessions.find({fact_.key.account, session_, wanted.model}).has_value();
            if (wanted.version != rollout->to && !known &&
                records.check(fact_.key.account, candidate) == records::verdict::allowed &&
                services_.exposure.take(candidate, arrived_)) {
                wanted = candidate;
                on_candidate_ = true;
            }
        }
    }
    stages_ = {std::move(wanted)};
    return true;
}

} // namespace hickorypost::dispatch
