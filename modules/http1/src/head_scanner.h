#pragma once

#include "hickorypost/http1/message.h"

#include <cstddef>
#include <string_view>

namespace hickorypost::http1 {

/// Finds the end of a message's head and checks its lines. Looks at each byte once, however the
/// head is split. Performs no I/O.
class head_scanner {
public:
    /// `limit`: of the head including its blank line, in bytes; `allows_folding`: whether a field
    /// may continue on the next line (obs-fold).
    head_scanner(std::size_t limit, bool allows_folding)
        : limit_{limit}, allows_folding_{allows_folding}
    {
    }

    /// `bytes`: those of the previous call followed by what has arrived since. Returns the length
    /// of the head including its blank line, or 0 as long as it is incomplete or after a fault.
    std::size_t scan(std::string_view bytes);

    [[nodiscard]] parse_fault fault() const noexcept { return fault_; }
    /// Length of the start line with its line end; 0 as long as it is incomplete.
    [[nodiscard]] std::size_t start_line() const noexcept { return start_line_; }
    /// Complete lines so far, the start line and the blank line included.
    [[nodiscard]] std::size_t lines() const noexcept { return lines_; }

private:
    /// Handles the line that ends before `end`. Returns whether it is the blank line.
    bool end_line(std::string_view bytes, std::size_t end);
    /// Rejects bytes that are no HTTP at all before their first line ends. The other lines are
    /// checked by the parser once the head is complete.
    void check_start_line(std::string_view head);

    std::size_t limit_;
    bool allows_folding_;
    std::size_t scanned_ = 0;
    std::size_t line_ = 0; ///< start of the current line
    std::size_t start_line_ = 0;
    std::size_t lines_ = 0;
    std::size_t checked_ = 0; ///< by `check_start_line`
    parse_fault fault_ = parse_fault::none;
};

} // namespace hickorypost::http1
