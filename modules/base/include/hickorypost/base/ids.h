#pragma once
/// Identities shared by all parts.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hickorypost {

/// Name of a process of the system, unique by its settings.
using node_id = std::string;
/// Drawn anew at each start of a process; tells a restarted process from its former self.
using incarnation = std::uint64_t;
/// One try of a request at one backend server; drawn at random by the entry.
using attempt_id = std::uint64_t;

/// Names a request: the client account and its idempotency key.
struct request_key {
    std::string account;
    std::string request;

    friend auto operator<=>(const request_key&, const request_key&) = default;
    friend bool operator==(const request_key&, const request_key&) = default;
};

/// A model with one of its versions.
struct model_version {
    std::string model;
    std::string version;

    friend auto operator<=>(const model_version&, const model_version&) = default;
    friend bool operator==(const model_version&, const model_version&) = default;
};

/// 64-bit XXH3 of the bytes; stable across hosts and releases.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// Hash that places a request in a ledger group; stable across hosts and releases.
std::uint64_t hash_key(const request_key& key) noexcept;

/// 32 lower-case hex digits, for request and trace identities.
std::string random_hex(const std::function<std::uint64_t()>& random);

struct request_key_hash {
    std::size_t operator()(const request_key& key) const noexcept { return hash_key(key); }
};

struct model_version_hash {
    std::size_t operator()(const model_version& mv) const noexcept
    {
        return hash_bytes(mv.version, hash_bytes(mv.model));
    }
};

} // namespace hickorypost
