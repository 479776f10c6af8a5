#include "held_address.h"

#include "deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace hickorypost::testing {

held_address::held_address(const std::string& address)
    : fd_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    const auto colon = address.find(':');
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &where.sin_addr);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    holds_ = eventually([&] {
                 return ::bind(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
             }) &&
             ::listen(fd_, 1) == 0;
}

held_address::~held_address()
{
    release();
}

void held_address::release()
{
    if (fd_ >= 0) {
        ::close(std::exchange(fd_, -1));
    }
}

} // namespace hickorypost::testing
