#include "engine_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickorypost {

namespace {

constexpr gsize read_bytes = gsize{32} << 10U;
/// A longer line is not an event of ours to look into; it passes unread.
constexpr std::size_t max_line_bytes = std::size_t{256} << 10U;
constexpr std::string_view event_prefix = "data:";
constexpr std::string_view done_event = "[DONE]";
constexpr std::string_view json_type = "application/json";
constexpr unsigned first_error_status = 400;

std::uint64_t count_of(const nlohmann::json& object, const char* key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

} // namespace

void usage_reader::push(std::string_view bytes)
{
    if (!event_stream_) {
        rest_.append(bytes);
        return;
    }
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            if (rest_.size() < max_line_bytes) {
                rest_.append(bytes);
            }
            return;
        }
        if (rest_.empty()) {
            take_line(bytes.substr(0, end));
        } else {
            rest_.append(bytes.substr(0, end));
            take_line(rest_);
            rest_.clear();
        }
        bytes.remove_prefix(end + 1);
    }
}

void usage_reader::take_line(std::string_view line)
{
    if (!line.starts_with(event_prefix)) {
        return;
    }
    line.remove_prefix(event_prefix.size());
    if (line.find(done_event) != std::string_view::npos && line.size() <= done_event.size() + 2) {
        done_ = true;
        return;
    }
    ++events_;
    // Events with usage are rare; only they are worth parsing.
    if (line.find("\"usage\":{") != std::string_view::npos) {
        take_usage(line);
    }
}

void usage_reader::take_usage(std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("usage") || !parsed["usage"].is_object()) {
        return;
    }
    const auto& usage = parsed["usage"];
    reported_ = true;
    usage_.prompt_tokens = count_of(usage, "prompt_tokens");
    usage_.completion_tokens = count_of(usage, "completion_tokens");
    if (const auto details = usage.find("prompt_tokens_details");
        details != usage.end() && details->is_object()) {
        usage_.cached_tokens = count_of(*details, "cached_tokens");
    }
}

wire::usage usage_reader::usage() const
{
    if (reported_) {
        return usage_;
    }
    if (!event_stream_) {
        usage_reader whole{true};
        whole.take_usage(rest_);
        return whole.usage_;
    }
    wire::usage out;
    out.completion_tokens = events_;
    return out;
}

struct engine_call::shared_state {
    engine_call_hooks hooks;
    usage_reader reader;
    bool event_stream = false;
    bool whole = false;
    bool over = false;
    wire::run_outcome cancel_reason = wire::run_outcome::cancelled;
    dispatch::call_result result;
    net::gobject_ptr<SoupMessage> message;
    net::gobject_ptr<GInputStream> stream;
    net::gobject_ptr<GCancellable> cancellable;
};

engine_call::engine_call(SoupSession* session, const dispatch::backend_call& request,
                         engine_call_hooks hooks)
    : state_{std::make_shared<shared_state>(
          shared_state{std::move(hooks), usage_reader{request.event_stream}, request.event_stream})}
{
    state_->cancellable.reset(g_cancellable_new());
    state_->message.reset(soup_message_new(request.method.c_str(), request.url.c_str()));
    auto* message = state_->message.get();
    if (message == nullptr) {
        // A backend server that announced a URL that is none; reported from the loop, as all ends.
        auto state = state_;
        limit_timer_ =
            net::timer::when_idle([state] { finish(*state, wire::run_outcome::engine_error); });
        return;
    }
    if (!request.body.empty()) {
        GBytes* body = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message, request.content_type.c_str(), body);
        g_bytes_unref(body);
    }
    auto* headers = soup_message_get_request_headers(message);
    if (request.non_idempotent) {
        // libsoup sends such a request on a new connection and never again by itself; the
        // connection is of no use to any other call.
        soup_message_headers_replace(headers, "Connection", "close");
    } else {
        // Without this flag libsoup opens a connection for every POST and keeps the used ones for a
        // minute: an agent ran out of descriptors after a thousand requests.
        soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    }
    if (!request.traceparent.empty()) {
        soup_message_headers_replace(headers, "traceparent", request.traceparent.c_str());
    }
    if (!request.authorization.empty()) {
        soup_message_headers_replace(headers, "Authorization", request.authorization.c_str());
    }
    if (!request.request_id.empty()) {
        soup_message_headers_replace(headers, "X-Request-Id", request.request_id.c_str());
    }
    if (request.limit > millis{0}) {
        limit_timer_ =
            net::timer::once(request.limit, [this] { cancel(wire::run_outcome::deadline); });
    }
    soup_session_send_async(session, message, G_PRIORITY_DEFAULT, state_->cancellable.get(),
                            on_sent, new std::shared_ptr<shared_state>{state_});
}

engine_call::~engine_call()
{
    if (!std::exchange(state_->over, true)) {
        g_cancellable_cancel(state_->cancellable.get());
    }
}

void engine_call::cancel(wire::run_outcome why)
{
    state_->cancel_reason = why;
    g_cancellable_cancel(state_->cancellable.get());
}

void engine_call::on_sent(GObject* source, GAsyncResult* outcome, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<shared_state>> held{
        static_cast<std::shared_ptr<shared_state>*>(data)};
    auto state = *held;
    GError* raw = nullptr;
    state->stream.reset(soup_session_send_finish(SOUP_SESSION(source), outcome, &raw));
    const net::gerror_ptr error{raw};
    if (!state->stream) {
        const bool cancelled = g_cancellable_is_cancelled(state->cancellable.get()) != FALSE;
        finish(*state, cancelled ? state->cancel_reason : wire::run_outcome::engine_error);
        return;
    }
    auto* message = state->message.get();
    state->result.http_status = soup_message_get_status(message);
    if (state->result.http_status >= first_error_status) {
        state->event_stream = false;
        state->reader = usage_reader{false};
    }
    const char* type =
        soup_message_headers_get_one(soup_message_get_response_headers(message), "Content-Type");
    state->result.content_type = type == nullptr ? "application/octet-stream" : type;
    if (!state->over) {
        state->hooks.head(state->result.http_status, state->result.content_type);
    }
    read_more(state);
}

void engine_call::read_more(std::shared_ptr<shared_state> state)
{
    GInputStream* stream = state->stream.get();
    GCancellable* cancellable = state->cancellable.get();
    g_input_stream_read_bytes_async(stream, read_bytes, G_PRIORITY_DEFAULT, cancellable, on_read,
                                    new std::shared_ptr<shared_state>{std::move(state)});
}

void engine_call::on_read(GObject* source, GAsyncResult* outcome, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<shared_state>> held{
        static_cast<std::shared_ptr<shared_state>*>(data)};
    auto state = *held;
    GError* raw = nullptr;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), outcome, &raw);
    const net::gerror_ptr error{raw};
    if (bytes == nullptr) {
        const bool cancelled = g_cancellable_is_cancelled(state->cancellable.get()) != FALSE;
        finish(*state, cancelled ? state->cancel_reason : wire::run_outcome::engine_error);
        return;
    }
    gsize n = 0;
    const auto* chars = static_cast<const char*>(g_bytes_get_data(bytes, &n));
    if (n > 0 && !state->over) {
        state->reader.push({chars, n});
        state->hooks.bytes({chars, n});
    }
    g_bytes_unref(bytes);
    if (n > 0) {
        read_more(std::move(state));
        return;
    }
    if (!is_whole(*state)) {
        finish(*state, wire::run_outcome::engine_error);
        return;
    }
    const bool failed = state->result.http_status >= first_error_status;
    state->whole = true;
    finish(*state, failed ? wire::run_outcome::engine_error : wire::run_outcome::complete);
}

// libsoup reports the end of the connection as the end of the answer after any line of the head,
// between chunks, and before the announced length if the answer has `Connection: close`.
bool engine_call::is_whole(const shared_state& state)
{
    if (state.event_stream) {
        return state.reader.done_seen();
    }
    auto* headers = soup_message_get_response_headers(state.message.get());
    const char* const length = soup_message_headers_get_one(headers, "Content-Length");
    const std::string_view body = state.reader.plain_body();
    if (body.empty()) {
        return state.result.http_status >= first_error_status && length != nullptr &&
               std::string_view{length} == "0";
    }
    const bool encoded = soup_message_headers_get_one(headers, "Content-Encoding") != nullptr;
    if (!encoded && length != nullptr) {
        return length == std::to_string(body.size());
    }
    const bool is_json = g_ascii_strncasecmp(state.result.content_type.c_str(), json_type.data(),
                                             json_type.size()) == 0;
    return !is_json || nlohmann::json::parse(body, nullptr, false).is_structured();
}

void engine_call::finish(shared_state& state, wire::run_outcome outcome)
{
    if (state.over) {
        return;
    }
    state.over = true;
    if (state.stream) {
        // libsoup takes a connection back only when its stream is closed.
        g_input_stream_close(state.stream.get(), nullptr, nullptr);
    }
    state.result.outcome = outcome;
    if (!state.whole && outcome == wire::run_outcome::engine_error) {
        state.result.http_status = 0; // a rejection that was cut short is a backend fault
    }
    state.result.used = state.reader.usage();
    state.hooks.over(state.result);
}

} // namespace hickorypost
