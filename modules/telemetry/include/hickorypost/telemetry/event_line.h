#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace hickorypost::telemetry {

/// The fields of one structured log line, built as a piece of a JSON object. The names of fields
/// are listed in docs/OPERATIONS.md.
class event_line {
public:
    explicit event_line(std::string_view event) { add("event", event); }

    event_line& add(std::string_view key, std::string_view value);
    template <class T>
    requires std::is_arithmetic_v<T> event_line& add(std::string_view key, T value)
    {
        begin(key);
        if constexpr (std::is_same_v<T, bool>) {
            text_.append(value ? "true" : "false");
        } else if constexpr (std::is_floating_point_v<T>) {
            append_number(static_cast<double>(value));
        } else {
            text_.append(std::to_string(value));
        }
        return *this;
    }

    /// What a logger of this module writes as fields rather than as a message's text.
    [[nodiscard]] const std::string& payload() const noexcept { return text_; }

private:
    void begin(std::string_view key);
    void append_number(double value);

    std::string text_{mark};

public:
    /// Begins a payload of fields; no message's text begins so.
    static constexpr char mark = '\x01';
};

} // namespace hickorypost::telemetry
