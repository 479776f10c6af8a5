#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorypost::testing {

struct http_reply {
    int status = 0;     ///< 0: no answer
    std::string head;   ///< header lines
    std::string body;   ///< without chunk framing
    bool whole = false; ///< the message's own framing says that nothing is missing
};

/// A plain HTTP/1.1 request over one connection of its own, with a bounded wait.
class http_client {
public:
    http_client(std::uint16_t port, const std::string& method, const std::string& path,
                const std::vector<std::string>& headers, const std::string& body);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Reads until the body holds `text`, the message is whole, or the time is over.
    bool read_until(const std::string& text, std::chrono::milliseconds limit);
    /// The rest of the message, as far as it comes within the limit.
    http_reply finish(std::chrono::milliseconds limit);
    /// Hangs up, as a caller that has gone away.
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
