#pragma once
/// Parses record documents (JSON) of all schema versions, from 1 to the newest.

#include "hickorypost/base/result.h"
#include "hickorypost/records/record_types.h"

#include <variant>

namespace hickorypost::records {

/// An error in a document, with its line and key.
struct record_fault {
    std::size_t line = 0; ///< 1-based; 0 if the line is unknown
    std::string key;
    std::string expected;
};

/// All errors found in a document.
struct record_error {
    std::string source; ///< file name or change id
    std::vector<record_fault> faults;
};

/// One line per fault: `source:line: key: expected ...`.
std::string describe(const record_error& error);

using record_body = std::variant<account_record, model_record, service_record, rollout_record,
                                 withdrawal_record, cascade_record>;

struct parsed_record {
    record_kind kind = record_kind::account;
    std::string name;
    std::uint64_t schema = 0;
    std::uint64_t number = 0; ///< revision set by the operator; each amendment raises it
    record_body body;
};

/// Returns the newest supported schema version of a kind. All versions from 1 on can be parsed.
std::uint64_t newest_schema(record_kind kind) noexcept;

/// Parses a document. Fails with a `record_error` that lists all errors found; `source` names the
/// document in it.
result<parsed_record> parse_record(std::string_view document, std::string_view source);

} // namespace hickorypost::records
