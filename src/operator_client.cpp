#include "operator_client.h"

#include "hickorypost/net/gobject_ptr.h"

#include <chrono>
#include <libsoup/soup.h>
#include <thread>

namespace hickorypost {

namespace {

constexpr unsigned unavailable = 503;
constexpr guint timeout_s = 5;
/// An election is over well within this.
constexpr int rounds = 40;
constexpr std::chrono::milliseconds round_pause{250};

} // namespace

operator_client::operator_client(std::vector<std::string> urls, std::string key,
                                 std::string authority)
    : urls_{std::move(urls)}, key_{std::move(key)}, authority_{std::move(authority)}
{
}

operator_reply operator_client::ask(const std::string& url, std::string_view method,
                                    const std::string& path, std::string_view body)
{
    const net::gobject_ptr<SoupSession> session{
        soup_session_new_with_options("timeout", timeout_s, nullptr)};
    // The length of an encoded answer is not the one of its body.
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
    if (!authority_.empty()) {
        const net::gobject_ptr<GTlsDatabase> database{
            g_tls_file_database_new(authority_.c_str(), nullptr)};
        soup_session_set_tls_database(session.get(), database.get());
    }
    const net::gobject_ptr<SoupMessage> message{
        soup_message_new(std::string{method}.c_str(), (url + path).c_str())};
    if (!message) {
        return {};
    }
    auto* headers = soup_message_get_request_headers(message.get());
    soup_message_headers_replace(headers, "Authorization", ("Bearer " + key_).c_str());
    if (!body.empty()) {
        GBytes* bytes = g_bytes_new(body.data(), body.size());
        soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes);
        g_bytes_unref(bytes);
    }
    GError* raw = nullptr;
    GBytes* answer = soup_session_send_and_read(session.get(), message.get(), nullptr, &raw);
    if (answer == nullptr) {
        const net::gerror_ptr error{raw};
        return {0, error->message};
    }
    gsize n = 0;
    const auto* chars = static_cast<const char*>(g_bytes_get_data(answer, &n));
    operator_reply out{soup_message_get_status(message.get()),
                       n == 0 ? std::string{} : std::string{chars, n}};
    g_bytes_unref(answer);
    // libsoup takes a head that ends with its connection after any line for a whole one, and with
    // `Connection: close` any part of the body. Every host sends a length.
    const char* const length = soup_message_headers_get_one(
        soup_message_get_response_headers(message.get()), "Content-Length");
    if (length == nullptr || length != std::to_string(n)) {
        return {0, "the answer was cut short"};
    }
    return out;
}

result<operator_reply> operator_client::ask_leader(std::string_view method, const std::string& path,
                                                   std::string_view body)
{
    std::string last = "no control host given (--control)";
    for (int round = 0; round < rounds; ++round) {
        for (const auto& url : urls_) {
            auto reply = ask(url, method, path, body);
            if (reply.status != 0 && reply.status != unavailable) {
                return reply;
            }
            last = url + ": " + reply.body;
        }
        std::this_thread::sleep_for(round_pause);
    }
    return leaf::new_error(operator_error{"no control host leads the group; last: " + last});
}

std::vector<operator_reply> operator_client::ask_all(const std::string& path)
{
    std::vector<operator_reply> out;
    for (const auto& url : urls_) {
        out.push_back(ask(url, "GET", path, {}));
    }
    return out;
}

} // namespace hickorypost
