#include "port_block.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorypost::testing {

namespace {

constexpr std::uint16_t block_size = 512;
constexpr std::uint16_t first_block = 10'240;
constexpr std::uint16_t ephemeral_ports = 32'768;

/// A socket of the given type on `port` of all addresses, or -1 if it is taken.
int bind_port(int type, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0) {
        return fd;
    }
    ::close(fd);
    return -1;
}

} // namespace

port_block::port_block()
{
    for (first_ = first_block; first_ < ephemeral_ports; first_ += block_size) {
        claim_ = bind_port(SOCK_DGRAM, first_);
        if (claim_ >= 0) {
            return;
        }
    }
    throw std::runtime_error{"all blocks of ports are claimed by other test programs"};
}

port_block::~port_block()
{
    ::close(claim_);
}

std::vector<std::uint16_t> port_block::take(std::size_t n)
{
    std::vector<std::uint16_t> out;
    for (std::uint16_t tried = 1; tried < block_size && out.size() < n; ++tried) {
        const auto port = static_cast<std::uint16_t>(first_ + next_);
        next_ = next_ + 1 < block_size ? static_cast<std::uint16_t>(next_ + 1) : std::uint16_t{1};
        if (const int fd = bind_port(SOCK_STREAM, port); fd >= 0) {
            ::close(fd);
            out.push_back(port);
        }
    }
    if (out.size() < n) {
        throw std::runtime_error{"too few free ports in the block of this test program"};
    }
    return out;
}

} // namespace hickorypost::testing
