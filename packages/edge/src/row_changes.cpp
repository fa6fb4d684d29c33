#include "row_changes.h"

#include <map>
#include <string_view>
#include <utility>

#include <xxhash.h>

namespace gypsumstep::edge {
namespace {

/// Smaller values are sent whole: all but the configuration.
constexpr std::size_t min_patched_bytes = 1024;

/// Edits that do not save at least half of a value are not worth applying.
constexpr std::size_t min_saving = 2;

void add_change(row_changes& changes, const adapter::stored_row& from,
                const adapter::stored_row& to)
{
    if (from.value.size() >= min_patched_bytes && from.deleted == to.deleted) {
        auto edits = edits_between(from.value, to.value);
        if (size_of(edits) <= to.value.size() / min_saving) {
            changes.patched.push_back({to.key, to.version, std::move(edits)});
            return;
        }
    }
    changes.changed.push_back(to);
}

} // namespace

row_changes changes_between(const std::vector<adapter::stored_row>& from,
                            const std::vector<adapter::stored_row>& to)
{
    std::map<std::string_view, const adapter::stored_row*> left;
    for (const adapter::stored_row& row : from) {
        left.emplace(row.key, &row);
    }
    row_changes changes;
    for (const adapter::stored_row& row : to) {
        const auto found = left.find(row.key);
        if (found == left.end()) {
            changes.changed.push_back(row);
            continue;
        }
        if (!(*found->second == row)) {
            add_change(changes, *found->second, row);
        }
        left.erase(found);
    }
    for (const auto& [key, row] : left) {
        changes.removed.emplace_back(key);
    }
    return changes;
}

bool apply_changes(std::vector<adapter::stored_row>& rows, const row_changes& changes)
{
    std::map<std::string, adapter::stored_row> by_key;
    for (adapter::stored_row& row : rows) {
        std::string key = row.key;
        by_key.insert_or_assign(std::move(key), std::move(row));
    }
    for (const std::string& key : changes.removed) {
        by_key.erase(key);
    }
    for (const row_patch& patch : changes.patched) {
        const auto found = by_key.find(patch.key);
        auto value =
            found == by_key.end() ? std::nullopt : apply_edits(found->second.value, patch.edits);
        if (!value) {
            return false;
        }
        found->second.value = std::move(*value);
        found->second.version = patch.version;
    }
    for (const adapter::stored_row& row : changes.changed) {
        by_key.insert_or_assign(row.key, row);
    }
    rows.clear();
    for (auto& [key, row] : by_key) {
        rows.push_back(std::move(row));
    }
    return true;
}

std::uint64_t digest_of(const std::vector<adapter::stored_row>& rows)
{
    std::uint64_t digest = rows.size();
    for (const adapter::stored_row& row : rows) {
        const std::uint64_t key = XXH3_64bits(row.key.data(), row.key.size());
        digest += XXH3_64bits_withSeed(row.value.data(), row.value.size(), key ^ row.version);
    }
    constexpr std::uint64_t number_bits = INT64_MAX; // what the relay's messages carry
    return (digest & number_bits) == 0 ? 1 : digest & number_bits;
}

} // namespace gypsumstep::edge
