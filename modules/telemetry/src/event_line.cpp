#include "hickorypost/telemetry/event_line.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hickorypost::telemetry {

void event_line::begin(std::string_view key)
{
    text_.append(text_.size() > 1 ? ",\"" : "\"").append(key).append("\":");
}

event_line& event_line::add(std::string_view key, std::string_view value)
{
    begin(key);
    const bool plain =
        value.find_first_of("\"\\") == std::string_view::npos &&
        std::all_of(value.begin(), value.end(), [](char c) { return c >= ' ' && c <= '~'; });
    if (plain) {
        text_.append("\"").append(value).append("\"");
    } else {
        text_.append(
            nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
    }
    return *this;
}

void event_line::append_number(double value)
{
    constexpr int decimals = 3;
    std::array<char, 64> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value,
                                         std::chars_format::fixed, decimals);
    text_.append(ec == std::errc{} ? std::string_view{buf.data(), end} : std::string_view{"null"});
}

} // namespace hickorypost::telemetry
