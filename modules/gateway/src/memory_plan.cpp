#include "hickorypost/gateway/memory_plan.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace hickorypost::gateway {

namespace {

constexpr std::size_t request_divisor = 4;
constexpr std::size_t control_divisor = 8;
constexpr std::size_t answer_divisor = 6;
/// The other descriptors are for backend servers, other hosts and files.
constexpr std::size_t descriptor_divisor = 2;
/// Memory for each connection of a caller, its buffers in the kernel included. Hosts have more for
/// each that their descriptors allow.
constexpr std::size_t connection_memory = std::size_t{32} << 10U;
constexpr std::size_t socket_buffer_divisor = 16;
constexpr std::size_t kernel_bytes_per_byte = 2;
constexpr std::size_t least_receive_buffer = std::size_t{4} << 10U;
constexpr std::size_t least_send_buffer = std::size_t{8} << 10U;
constexpr std::size_t most_socket_buffer = std::size_t{64} << 10U;
constexpr std::size_t backend_buffer_divisor = 8192;
constexpr std::size_t least_backend_buffer = std::size_t{16} << 10U;

} // namespace

memory_plan plan_memory(std::size_t memory, std::size_t descriptors, std::size_t control_body)
{
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    const std::size_t by_descriptors =
        descriptors > 0 ? descriptors / descriptor_divisor : unlimited;
    const std::size_t by_memory = memory > 0 ? memory / connection_memory : unlimited;
    const std::size_t connections = std::max<std::size_t>(1, std::min(by_descriptors, by_memory));
    const std::size_t buffer =
        std::bit_floor(memory / socket_buffer_divisor / kernel_bytes_per_byte / connections);
    return {.memory = memory,
            .requests = memory / request_divisor,
            .control = std::max(memory / control_divisor, control_body),
            .answers = memory / answer_divisor,
            .connections = connections,
            .receive_buffer = std::clamp(buffer, least_receive_buffer, most_socket_buffer),
            .send_buffer = std::clamp(buffer, least_send_buffer, most_socket_buffer),
            .backend_receive_buffer = std::clamp(std::bit_floor(memory / backend_buffer_divisor),
                                                 least_backend_buffer, most_socket_buffer)};
}

} // namespace hickorypost::gateway
