#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hickorypost::testing {

/// Ports for the servers of one test program. Other programs that hold a block use other ports, and
/// all lie below the range from which the kernel numbers the sockets of clients, so that a port
/// stays free while its server is down.
class port_block {
public:
    /// Claims a block until destruction. Throws `std::runtime_error` if all are claimed.
    port_block();
    ~port_block();
    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    /// Next `n` ports on which nothing listens, on any address; those of long ago come again.
    /// Throws `std::runtime_error` if the block has too few.
    [[nodiscard]] std::vector<std::uint16_t> take(std::size_t n);

private:
    int claim_ = -1; ///< UDP socket on the first port of the block, which marks it as claimed
    std::uint16_t first_ = 0;
    std::uint16_t next_ = 1; ///< offset of the port to try next
};

} // namespace hickorypost::testing
