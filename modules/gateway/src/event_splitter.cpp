#include "hickorypost/gateway/event_splitter.h"

#include <charconv>

namespace hickorypost::gateway {

namespace {

/// The value of an event's `id` line.
std::optional<std::uint64_t> id_of(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        if (line.starts_with(name)) {
            auto digits = line.substr(name.size());
            digits.remove_prefix(std::min(digits.find_first_not_of(' '), digits.size()));
            std::uint64_t out = 0;
            const auto [end, ec] =
                std::from_chars(digits.data(), digits.data() + digits.size(), out);
            return ec == std::errc{} ? std::optional{out} : std::nullopt;
        }
        event.remove_prefix(std::min(line.size() + 1, event.size()));
    }
    return std::nullopt;
}

/// Where the first whole event ends, or npos.
std::size_t end_of_event(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto crlf = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && crlf == std::string_view::npos) {
        return std::string_view::npos;
    }
    return plain < crlf ? plain + 2 : crlf + 4;
}

} // namespace

std::string event_splitter::push(std::string_view bytes)
{
    pending_.append(bytes);
    std::string out;
    std::string_view rest = pending_;
    for (auto end = end_of_event(rest); end != std::string_view::npos; end = end_of_event(rest)) {
        const auto event = rest.substr(0, end);
        if (accept(event)) {
            out.append(event);
        }
        rest.remove_prefix(end);
    }
    pending_.erase(0, pending_.size() - rest.size());
    return out;
}

bool event_splitter::accept(std::string_view event)
{
    const auto id = id_of(event);
    if (!id) {
        return true; // a comment, or a part of the stream without an id
    }
    if (last_id_ && *id <= *last_id_) {
        return false;
    }
    if (last_id_ && *id != *last_id_ + 1) {
        out_of_order_ = true;
        return false;
    }
    last_id_ = id;
    ++events_;
    return true;
}

} // namespace hickorypost::gateway
