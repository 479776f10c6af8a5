#include "head_scanner.h"

#include "characters_priv.h"

#include <algorithm>

namespace hickorypost::http1 {

namespace {

constexpr std::string_view line_break = "\r\n";
/// Of a head. A parsed field takes a multiple of the bytes of a short line.
constexpr std::size_t max_lines = 256;

} // namespace

std::size_t head_scanner::scan(std::string_view bytes)
{
    const std::string_view head = bytes.substr(0, limit_);
    while (fault_ == parse_fault::none) {
        const std::size_t line_end = head.find('\n', scanned_);
        if (line_end == std::string_view::npos) {
            scanned_ = head.size();
            break;
        }
        scanned_ = line_end + 1;
        if (end_line(head, scanned_)) {
            return scanned_;
        }
    }
    check_start_line(head);
    if (fault_ == parse_fault::none && bytes.size() >= limit_) {
        fault_ = parse_fault::head_too_large;
    }
    return 0;
}

void head_scanner::check_start_line(std::string_view head)
{
    const std::size_t end = start_line_ > 0 ? start_line_ - line_break.size() : head.size();
    const auto added = head.substr(std::min(checked_, end), end - std::min(checked_, end));
    checked_ = end;
    if (std::any_of(added.begin(), added.end(),
                    [](char it) { return it != '\r' && detail::is_control(it); })) {
        fault_ = parse_fault::malformed;
    }
}

bool head_scanner::end_line(std::string_view bytes, std::size_t end)
{
    const std::string_view line = bytes.substr(line_, end - line_);
    const bool is_first = line_ == 0;
    const bool is_blank = line == line_break;
    const bool is_folded = !is_first && detail::is_blank(line.front());
    if (!line.ends_with(line_break) || (is_first && is_blank) || (is_folded && !allows_folding_)) {
        fault_ = parse_fault::malformed;
        return false;
    }
    if (is_first) {
        start_line_ = end;
    }
    line_ = end;
    if (++lines_ > max_lines) {
        fault_ = parse_fault::head_too_large;
        return false;
    }
    return is_blank;
}

} // namespace hickorypost::http1
