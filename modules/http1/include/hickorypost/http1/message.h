#pragma once
/// Heads of HTTP/1.1 messages as typed values.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::http1 {

/// ASCII letters compare without case, as in field names and hosts.
bool equal_fold(std::string_view a, std::string_view b) noexcept;

struct field {
    std::string name;
    std::string value;
};

/// Fields in the order in which they came; names compare without case.
class field_list {
public:
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    /// The value as a whole decimal number.
    [[nodiscard]] std::optional<std::int64_t> number(std::string_view name) const;
    void add(std::string_view name, std::string_view value);
    /// Prepares for `n` fields in all.
    void reserve(std::size_t n) { fields_.reserve(n); }
    void remove(std::string_view name);
    /// Removes what concerns only one connection: the standard hop-by-hop fields, and those that
    /// `Connection` names.
    void remove_hop_by_hop();

    [[nodiscard]] auto begin() const noexcept { return fields_.begin(); }
    [[nodiscard]] auto end() const noexcept { return fields_.end(); }
    [[nodiscard]] bool empty() const noexcept { return fields_.empty(); }

private:
    std::vector<field> fields_;
};

/// How a message's end is found.
enum class framing : std::uint8_t {
    none,        ///< no body
    sized,       ///< by its length
    chunked,     ///< by the last chunk
    until_close, ///< by the end of the connection; responses only
};

struct request_head {
    std::string method;
    std::string target; ///< path with query, as sent
    field_list fields;
    bool keep_alive = true;
    bool expects_continue = false;
    bool is_http_1_1 = true; ///< HTTP/1.0 has neither interim responses (1xx) nor chunks
};

struct response_head {
    unsigned status = 0;
    std::string reason;
    field_list fields;
    framing body = framing::none;
    std::uint64_t length = 0; ///< if `sized`
    bool keep_alive = true;
};

/// Why bytes are not an acceptable message.
enum class parse_fault : std::uint8_t {
    none,
    malformed,
    head_too_large,
    body_too_large,
    cut_short
};

std::string_view describe(parse_fault fault) noexcept;
std::string_view reason_of(unsigned status) noexcept;

/// The bytes of a head; `framing` fields are the caller's to add.
std::string write_request_head(const request_head& head);
std::string write_response_head(const response_head& head);
/// One chunk of a chunked body.
void append_chunk(std::string& out, std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace hickorypost::http1
