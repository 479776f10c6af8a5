#include "hickorypost/storage/journal.h"

#include "journal_record_priv.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace hickorypost::storage {

namespace {

constexpr std::string_view segment_suffix = ".seg";
constexpr int sequence_digits = 20;

} // namespace

journal::journal(file_system& fs, journal_options options, prologue_fn prologue)
    : fs_{&fs}, options_{std::move(options)}, prologue_{std::move(prologue)}
{
}

result<journal> journal::open(file_system& fs, journal_options options, prologue_fn prologue,
                              const replay_fn& replay)
{
    journal out{fs, std::move(options), std::move(prologue)};
    BOOST_LEAF_CHECK(out.load(replay));
    return out;
}

std::string journal::segment_name(std::uint64_t sequence) const
{
    std::string digits = std::to_string(sequence);
    digits.insert(0, sequence_digits - digits.size(), '0');
    return options_.prefix + digits + std::string{segment_suffix};
}

result<void> journal::load(const replay_fn& replay)
{
    BOOST_LEAF_AUTO(names, fs_->list());
    std::sort(names.begin(), names.end());
    for (const auto& name : names) {
        if (!name.starts_with(options_.prefix) || !name.ends_with(segment_suffix)) {
            continue;
        }
        segment seg;
        seg.name = name;
        const char* first = name.data() + options_.prefix.size();
        const char* last = name.data() + name.size() - segment_suffix.size();
        if (const auto [end, ec] = std::from_chars(first, last, seg.first_sequence);
            ec != std::errc{} || end != last) {
            continue; // another journal whose prefix begins with ours
        }
        segments_.push_back(std::move(seg));
    }
    for (std::size_t it = 0; it < segments_.size(); ++it) {
        // A gap between segments means that a synced one has gone missing.
        if (it > 0 && segments_[it].first_sequence != next_sequence_) {
            return leaf::new_error(storage_error{storage_fault::damaged, segments_[it].name,
                                                 "the segment before it is missing or cut"});
        }
        next_sequence_ = segments_[it].first_sequence;
        BOOST_LEAF_CHECK(load_segment(segments_[it], it + 1 == segments_.size(), replay));
    }
    synced_sequence_ = next_sequence_ - 1;
    if (segments_.empty()) {
        return start_segment();
    }
    BOOST_LEAF_ASSIGN(tail_, fs_->open_append(segments_.back().name));
    // The bytes that were just read may still be only in the page cache; make them last before
    // anything is built on them.
    return tail_->sync();
}

result<void> journal::load_segment(segment& seg, bool last, const replay_fn& replay)
{
    BOOST_LEAF_AUTO(bytes, fs_->read_file(seg.name));
    std::string_view rest{bytes};
    while (!rest.empty()) {
        const auto record = detail::read_record(rest);
        if (!record || record->sequence != next_sequence_) {
            break;
        }
        replay(record->tag, record->payload);
        seg.highest_tag = std::max(seg.highest_tag, record->tag);
        ++next_sequence_;
        rest.remove_prefix(detail::record_bytes(*record));
    }
    seg.bytes = bytes.size() - rest.size();
    if (rest.empty()) {
        return {};
    }
    // Cutting a record that had been synced would forget acknowledged work. Only the tail of the
    // last segment can be unsynced, and only if no later record says otherwise.
    if (!last || detail::proves_synced(rest, next_sequence_)) {
        return leaf::new_error(storage_error{storage_fault::damaged, seg.name,
                                             "bad record at byte " + std::to_string(seg.bytes)});
    }
    return fs_->truncate(seg.name, seg.bytes);
}

result<void> journal::start_segment()
{
    segment seg;
    seg.first_sequence = next_sequence_;
    seg.name = segment_name(next_sequence_);
    BOOST_LEAF_ASSIGN(tail_, fs_->open_append(seg.name));
    segments_.push_back(std::move(seg));
    BOOST_LEAF_CHECK(write_record(0, prologue_()));
    BOOST_LEAF_CHECK(tail_->sync());
    BOOST_LEAF_CHECK(fs_->sync_folder());
    synced_sequence_ = next_sequence_ - 1;
    return {};
}

result<void> journal::write_record(std::uint64_t tag, std::string_view payload)
{
    std::string bytes;
    detail::append_record(bytes, {next_sequence_, synced_sequence_, tag, payload});
    BOOST_LEAF_CHECK(tail_->append(bytes));
    ++next_sequence_;
    segment& seg = segments_.back();
    seg.bytes += bytes.size();
    seg.highest_tag = std::max(seg.highest_tag, tag);
    return {};
}

result<void> journal::check_usable() const
{
    if (broken_) {
        return leaf::new_error(
            storage_error{storage_fault::sync_failed, options_.prefix,
                          "an earlier write or sync failed; restart to recover"});
    }
    return {};
}

result<void> journal::append(std::uint64_t tag, std::string_view payload)
{
    BOOST_LEAF_CHECK(check_usable());
    broken_ = true;
    if (segments_.back().bytes >= options_.segment_bytes) {
        BOOST_LEAF_CHECK(tail_->sync());
        BOOST_LEAF_CHECK(start_segment());
    }
    BOOST_LEAF_CHECK(write_record(tag, payload));
    broken_ = false;
    return {};
}

result<void> journal::sync()
{
    BOOST_LEAF_CHECK(check_usable());
    broken_ = true;
    BOOST_LEAF_CHECK(tail_->sync());
    broken_ = false;
    synced_sequence_ = next_sequence_ - 1;
    return {};
}

result<void> journal::drop_through(std::uint64_t tag)
{
    bool removed = false;
    while (segments_.size() > 1 && segments_.front().highest_tag <= tag) {
        BOOST_LEAF_CHECK(fs_->remove(segments_.front().name));
        segments_.pop_front();
        removed = true;
    }
    return removed ? fs_->sync_folder() : result<void>{};
}

} // namespace hickorypost::storage
