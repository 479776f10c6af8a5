#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::gateway {

/// What equal requests have in common, whoever sends them again and at whichever host: client
/// account, host, method, target and body. 128 bits, the same on all hosts.
struct request_identity {
    std::uint64_t outline = 0; ///< of everything but the body's bytes
    std::uint64_t digest = 0;  ///< of everything; SHA-256, so that no caller can imitate another's

    friend auto operator<=>(const request_identity&, const request_identity&) = default;
    friend bool operator==(const request_identity&, const request_identity&) = default;
};

/// The parts of a request that identify it.
struct identity_parts {
    std::string_view account; ///< empty: the caller is not identified
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// Cheap, to rule out most requests without reading their bodies.
std::uint64_t outline_of(const identity_parts& parts) noexcept;
request_identity identity_of(const identity_parts& parts);

/// 32 lower-case hex digits.
std::string to_text(const request_identity& identity);
/// Nothing, if it is anything but 32 hex digits.
std::optional<request_identity> parse_identity(std::string_view text);

struct request_identity_hash {
    std::size_t operator()(const request_identity& it) const noexcept
    {
        return static_cast<std::size_t>(it.digest);
    }
};

} // namespace hickorypost::gateway
