#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hickorypost {

/// Totals of one account, model, version and outcome, over all ledger groups and hours.
struct report_line {
    std::string account;
    std::string model;
    std::string version;
    std::string outcome;
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::int64_t cost = 0;
    std::int64_t first_ms_sum = 0;
};

/// The report as managers read it.
class report_table {
public:
    /// Adds the rows that one ledger group answered.
    void add_group(const nlohmann::json& answer);

    [[nodiscard]] std::string as_table() const;
    [[nodiscard]] std::string as_csv() const;
    [[nodiscard]] std::string as_json() const;
    [[nodiscard]] const std::vector<report_line>& lines() const noexcept { return lines_; }
    [[nodiscard]] report_line total() const;

private:
    struct detail_line {
        std::string account;
        std::string request;
        std::string model;
        std::string version;
        std::string outcome;
        std::int64_t cost = 0;
    };

    report_line& line_for(const report_line& like);

    std::vector<report_line> lines_;
    std::vector<detail_line> details_;
    std::uint64_t open_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t wasted_tokens_ = 0;
};

/// Millionths of the currency unit as a decimal number, exactly.
std::string money(std::int64_t millionths);

} // namespace hickorypost
