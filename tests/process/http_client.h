#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorypost::testing {

struct http_reply {
    int status = 0;     ///< 0: no answer
    std::string head;   ///< header lines
    std::string body;   ///< with chunked encoding removed
    bool whole = false; ///< the message is complete by its own framing
};

/// Sends one HTTP/1.1 request on a new connection and reads its response with time limits.
class http_client {
public:
    http_client(std::uint16_t port, const std::string& method, const std::string& path,
                const std::vector<std::string>& headers, const std::string& body);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Reads until the received bytes contain `text`, the message is complete or `limit` has
    /// passed. Returns whether they contain `text`.
    bool read_until(const std::string& text, std::chrono::milliseconds limit);
    /// Reads the rest of the message, for at most `limit`.
    http_reply finish(std::chrono::milliseconds limit);
    /// Closes the connection, as a caller that disconnects early.
    void hang_up();

private:
    bool read_some(std::chrono::milliseconds limit);
    [[nodiscard]] http_reply parse() const;

    int fd_ = -1;
    std::string raw_;
    bool closed_ = false;
};

http_reply ask(std::uint16_t port, const std::string& method, const std::string& path,
               const std::vector<std::string>& headers = {}, const std::string& body = {});

} // namespace hickorypost::testing
