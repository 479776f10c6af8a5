#include "request_body_limit.h"

#include "hickorypost/base/process_memory.h"

#include <algorithm>
#include <cstring>

namespace hickorypost {

namespace {

constexpr const char* key = "hickorypost-request-body-limit";
/// Bodies up to this size are refused for lack of memory only if the reserve is used up, too.
constexpr std::size_t small_body_bytes = std::size_t{16} << 10U;
constexpr const char* too_large =
    R"({"error":{"message":"request body is larger than allowed","type":"too_large","outcome":"not_run"}})";
constexpr const char* no_memory =
    R"({"error":{"message":"memory for request bodies is used up","type":"overloaded","outcome":"not_run"}})";
constexpr const char* retry_after_s = "1";

} // namespace

body_limits body_limits::of_machine(std::size_t bytes)
{
    constexpr std::size_t memory_divisor = 8;
    const std::size_t all = std::max(machine_memory_bytes() / memory_divisor, bytes);
    return {.body_bytes = bytes, .all_bodies = std::make_shared<gateway::buffer_budget>(all)};
}

void request_body_limit::apply(SoupServerMessage* message, const body_limits& limits)
{
    auto* const out = new request_body_limit{message, limits};
    g_object_set_data_full(G_OBJECT(message), key, out,
                           [](gpointer it) { delete static_cast<request_body_limit*>(it); });
    auto* const headers = soup_server_message_get_request_headers(message);
    out->take(static_cast<std::size_t>(
        std::max<goffset>(0, soup_message_headers_get_content_length(headers))));
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_NONE) {
        return;
    }
    out->timer_ = net::timer::once(limits.read_timeout, [out] { out->stop_reading(); });
    g_signal_connect(message, "got-body", G_CALLBACK(on_read), out);
    // A body in chunks announces no length.
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED) {
        g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), out);
    }
}

request_body_limit::request_body_limit(SoupServerMessage* message, const body_limits& limits)
    : message_{message}, limits_{limits}, share_{limits.all_bodies}
{
}

void request_body_limit::on_chunk(SoupServerMessage*, GBytes* chunk, gpointer data)
{
    static_cast<request_body_limit*>(data)->take(g_bytes_get_size(chunk));
}

void request_body_limit::on_read(SoupServerMessage*, gpointer data)
{
    static_cast<request_body_limit*>(data)->timer_.cancel();
}

void request_body_limit::take(std::size_t bytes)
{
    if (refused_) {
        return;
    }
    const bool is_large = bytes > limits_.body_bytes || received_ > limits_.body_bytes - bytes;
    const auto& all = *limits_.all_bodies;
    const bool has_room =
        all.has_room(bytes) || (received_ + bytes <= small_body_bytes && all.has_reserve(bytes));
    if (is_large) {
        refuse(SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, too_large);
    } else if (!has_room) {
        refuse(SOUP_STATUS_SERVICE_UNAVAILABLE, no_memory);
    } else {
        received_ += bytes;
        share_.set(received_);
    }
}

void request_body_limit::refuse(unsigned status, const char* body)
{
    refused_ = true;
    share_.set(0);
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message_), FALSE);
    soup_message_body_truncate(soup_server_message_get_request_body(message_));
    soup_server_message_set_status(message_, status, nullptr);
    soup_server_message_set_response(message_, "application/json", SOUP_MEMORY_STATIC, body,
                                     std::strlen(body));
    auto* const headers = soup_server_message_get_response_headers(message_);
    if (status == SOUP_STATUS_SERVICE_UNAVAILABLE) {
        soup_message_headers_replace(headers, "Retry-After", retry_after_s);
    }
    soup_message_headers_replace(headers, "Connection", "close");
    // libsoup answers once the body has ended. A body in chunks ends with the input; the rest of
    // one with a length is read and dropped.
    auto* const request = soup_server_message_get_request_headers(message_);
    if (soup_message_headers_get_encoding(request) == SOUP_ENCODING_CHUNKED) {
        stop_reading();
    }
}

void request_body_limit::stop_reading()
{
    if (GSocket* socket = soup_server_message_get_socket(message_); socket != nullptr) {
        // Fails only if the connection has ended.
        g_socket_shutdown(socket, TRUE, FALSE, nullptr);
    }
}

} // namespace hickorypost
