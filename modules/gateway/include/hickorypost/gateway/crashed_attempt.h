#pragma once

#include "hickorypost/gateway/request_identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorypost::gateway {

/// A prompt part of an attempt that other requests may share.
struct attempted_part {
    std::uint64_t id = 0;
    std::uint32_t crashes_before = 0; ///< crashes of the part known when the attempt was sent
};

/// An attempt that was in flight on a backend server whose connection was lost.
struct crashed_attempt {
    std::string backend; ///< incarnation
    std::string service;
    std::string request; ///< id of the request, as the caller sent it
    request_identity identity;
    std::uint32_t crashes_before = 0; ///< of the identity, known when the attempt was sent
    std::vector<attempted_part> parts;
};

} // namespace hickorypost::gateway
