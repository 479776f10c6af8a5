#pragma once
/// Reads record documents (JSON) of every schema version there ever was.

#include "hickorypost/base/result.h"
#include "hickorypost/records/record_types.h"

#include <variant>

namespace hickorypost::records {

/// One fault in a document, with its place.
struct record_fault {
    std::size_t line = 0; ///< 0: the document as a whole
    std::string key;
    std::string expected;
};

/// All faults of a document.
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
    std::uint64_t number = 0; ///< the operator's number; grows with each amendment
    record_body body;
};

/// Newest schema version known for a kind; all from 1 on can be read.
std::uint64_t newest_schema(record_kind kind) noexcept;

/// Fails with `record_error` that names every fault.
result<parsed_record> parse_record(std::string_view document, std::string_view source);

} // namespace hickorypost::records
