#include "http_client.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorypost::testing {

namespace {

constexpr std::chrono::milliseconds ask_limit{15'000};

std::chrono::milliseconds left_until(std::chrono::steady_clock::time_point end)
{
    const auto left = end - std::chrono::steady_clock::now();
    return std::max(std::chrono::milliseconds{0},
                    std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

} // namespace

http_client::http_client(std::uint16_t port, const std::string& method, const std::string& path,
                         const std::vector<std::string>& headers, const std::string& body)
    : fd_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: test\r\n";
    for (const auto& it : headers) {
        text += it;
        text += "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
        closed_ = true;
    }
}

http_client::~http_client()
{
    hang_up();
}

void http_client::hang_up()
{
    if (fd_ >= 0) {
        ::close(fd_);
        fd_ = -1;
    }
}

bool http_client::read_some(std::chrono::milliseconds limit)
{
    pollfd waiting{fd_, POLLIN, 0};
    if (closed_ || ::poll(&waiting, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    std::array<char, 65536> buf{};
    const ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
        closed_ = true;
        return false;
    }
    raw_.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

http_reply http_client::parse() const
{
    http_reply out;
    const auto end = raw_.find("\r\n\r\n");
    if (end == std::string::npos) {
        return out;
    }
    out.head = raw_.substr(0, end + 2);
    out.status = std::atoi(out.head.substr(9, 3).c_str());
    std::string rest = raw_.substr(end + 4);
    if (out.head.find("chunked") == std::string::npos) {
        const auto at = out.head.find("Content-Length: ");
        const auto size =
            at == std::string::npos ? 0 : std::strtoull(out.head.c_str() + at + 16, nullptr, 10);
        out.whole = rest.size() >= size;
        out.body = std::move(rest);
        return out;
    }
    while (true) {
        const auto line = rest.find("\r\n");
        if (line == std::string::npos) {
            return out;
        }
        const auto size = std::strtoull(rest.c_str(), nullptr, 16);
        if (size == 0) {
            out.whole = true;
            return out;
        }
        out.body += rest.substr(line + 2, size);
        if (rest.size() < line + 2 + size + 2) {
            return out;
        }
        rest = rest.substr(line + 2 + size + 2);
    }
}

bool http_client::read_until(const std::string& text, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (raw_.find(text) == std::string::npos) {
        if (!read_some(left_until(end))) {
            return false;
        }
    }
    return true;
}

http_reply http_client::finish(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    http_reply out = parse();
    while (!out.whole && read_some(left_until(end))) {
        out = parse();
    }
    return out;
}

http_reply ask(std::uint16_t port, const std::string& method, const std::string& path,
               const std::vector<std::string>& headers, const std::string& body)
{
    http_client it{port, method, path, headers, body};
    return it.finish(ask_limit);
}

} // namespace hickorypost::testing
