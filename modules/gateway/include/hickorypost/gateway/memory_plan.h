#pragma once

#include <cstddef>

namespace hickorypost::gateway {

/// How a host divides the memory that its process may use, in bytes. The rest is for the process
/// itself and for buffers that are not accounted for.
struct memory_plan {
    std::size_t memory = 0;
    std::size_t requests = 0; ///< of callers, being read or in flight
    std::size_t control = 0;  ///< requests on the other ports
    std::size_t answers = 0;  ///< not received by their callers yet
    /// Open connections of callers.
    std::size_t connections = 0;
    /// Receive and send buffer of a connection of a caller in the kernel, which doubles them.
    std::size_t receive_buffer = 0;
    std::size_t send_buffer = 0;
    /// Receive buffer of a connection to a backend server.
    std::size_t backend_receive_buffer = 0;
};

/// `memory` in bytes, 0 if unknown; `descriptors`: of the process, 0 if there is no limit;
/// `control_body`: size of the largest request on the other ports.
memory_plan plan_memory(std::size_t memory, std::size_t descriptors, std::size_t control_body);

} // namespace hickorypost::gateway
