#pragma once
/// The command line: one function per verb. Exit codes are documented in docs/OPERATORS.md.

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost {

enum class exit_code : int {
    done = 0,
    refused = 1,     ///< the system said no: a change lost a race, a record has faults
    usage = 2,       ///< the command line is wrong
    unreachable = 3, ///< no control host answered
    failed = 4,      ///< a role could not start or had to stop
};

struct verb {
    std::string_view name;
    std::string_view summary;
    std::string_view help; ///< with examples
    exit_code (*run)(std::span<char*> args);
};

std::span<const verb> all_verbs();
/// The items of a list; none, if `text` is null.
std::vector<std::string> split_commas(const char* text);

exit_code run_role(std::span<char*> args);
exit_code run_submit(std::span<char*> args);
exit_code run_amend(std::span<char*> args);
exit_code run_withdraw(std::span<char*> args);
exit_code run_records(std::span<char*> args);
exit_code run_status(std::span<char*> args);
exit_code run_report(std::span<char*> args);
exit_code run_check(std::span<char*> args);
exit_code run_settings(std::span<char*> args);
exit_code run_mechanisms(std::span<char*> args);
exit_code run_history(std::span<char*> args);
exit_code run_load(std::span<char*> args);
exit_code run_suspects(std::span<char*> args);
exit_code run_evacuations(std::span<char*> args);
exit_code run_hash_key(std::span<char*> args);

} // namespace hickorypost
