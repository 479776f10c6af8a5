#pragma once
/// Keys of callers and operators: kept and compared as SHA-256 only.

#include <string>
#include <string_view>

namespace hickorypost {

/// Lower-case hex SHA-256.
std::string sha256_hex(std::string_view text);

/// Compares in time that depends on the lengths only, so that a guess learns nothing from timing.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// The key of an `Authorization: Bearer KEY` header; empty if there is none.
std::string_view bearer_key(std::string_view header) noexcept;

} // namespace hickorypost
