#pragma once
/// An append-only journal over numbered segment files.

#include "hickorypost/storage/file_system.h"

#include <deque>
#include <functional>
#include <string>

namespace hickorypost::storage {

struct journal_options {
    std::string prefix; ///< of the segments' names; one per journal
    std::uint64_t segment_bytes = std::uint64_t{8} << 20U; ///< a segment past this size is closed
};

/// Appends checksummed records; what was appended before a `sync` that succeeded is read back by
/// the next `open`, in order, or `open` fails with `storage_fault::damaged`.
///
/// Each record carries a sequence number and the number up to which the journal was known to be
/// synced when it was written. A bad record that a later one says was synced is damage; any other
/// is the torn tail of an unfinished append and is cut off.
class journal {
public:
    using replay_fn = std::function<void(std::uint64_t tag, std::string_view payload)>;
    /// Written first into each new segment, so that earlier segments can be dropped.
    using prologue_fn = std::function<std::string()>;

    /// Reads all records through `replay` (tag 0 for prologues), then is ready to append.
    static result<journal> open(file_system& fs, journal_options options, prologue_fn prologue,
                                const replay_fn& replay);

    /// Appends a record; `tag` says which records `drop_through` may forget (0: never asked for).
    result<void> append(std::uint64_t tag, std::string_view payload);

    /// After a failed append or sync every later call fails too: the file's state is unknown, and
    /// trying again could report bytes as durable that the kernel has already dropped.
    result<void> sync();

    /// Removes closed segments whose tags are all at most `tag`.
    result<void> drop_through(std::uint64_t tag);

    [[nodiscard]] std::size_t segments() const noexcept { return segments_.size(); }

private:
    struct segment {
        std::string name;
        std::uint64_t first_sequence = 0;
        std::uint64_t highest_tag = 0;
        std::uint64_t bytes = 0;
    };

    journal(file_system& fs, journal_options options, prologue_fn prologue);

    result<void> load(const replay_fn& replay);
    result<void> load_segment(segment& seg, bool last, const replay_fn& replay);
    result<void> start_segment();
    result<void> write_record(std::uint64_t tag, std::string_view payload);
    result<void> check_usable() const;
    [[nodiscard]] std::string segment_name(std::uint64_t sequence) const;

    file_system* fs_;
    journal_options options_;
    prologue_fn prologue_;
    std::deque<segment> segments_;
    std::unique_ptr<append_file> tail_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t synced_sequence_ = 0;
    bool broken_ = false;
};

} // namespace hickorypost::storage
