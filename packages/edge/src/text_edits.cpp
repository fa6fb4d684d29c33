#include "text_edits.h"

#include <algorithm>
#include <unordered_map>

namespace gypsumstep::edge {
namespace {

/// Bytes that one edit takes in a message beside its text, at most.
constexpr std::size_t edit_overhead = 20;

/// Returns the length of the text's first piece. Pieces end with an object of JSON, such as a route
/// of a configuration, which mostly changes as a whole.
std::size_t piece_length(std::string_view text)
{
    const std::size_t end = text.find('}');
    return end == std::string_view::npos ? text.size() : end + 1;
}

} // namespace

std::vector<text_edit> edits_between(std::string_view from, std::string_view to)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (std::size_t offset = 0; offset < from.size();) {
        const std::string_view piece = from.substr(offset, piece_length(from.substr(offset)));
        offsets.emplace(piece, offset);
        offset += piece.size();
    }
    std::vector<text_edit> edits(1);
    while (!to.empty()) {
        const std::string_view piece = to.substr(0, piece_length(to));
        to.remove_prefix(piece.size());
        text_edit& last = edits.back();
        const std::size_t next = last.offset + last.length;
        if (last.text.empty() && from.substr(next, piece.size()) == piece) {
            last.length += piece.size(); // goes on with what is copied already
            continue;
        }
        const auto found = offsets.find(piece);
        if (found == offsets.end()) {
            last.text += piece;
        }
        else {
            edits.push_back({found->second, piece.size(), {}});
        }
    }
    return edits;
}

std::optional<std::string> apply_edits(std::string_view from, const std::vector<text_edit>& edits)
{
    std::string text;
    for (const text_edit& edit : edits) {
        if (edit.offset > from.size() || edit.length > from.size() - edit.offset) {
            return std::nullopt;
        }
        text += from.substr(edit.offset, edit.length);
        text += edit.text;
    }
    return text;
}

std::size_t size_of(const std::vector<text_edit>& edits)
{
    std::size_t size = 0;
    for (const text_edit& edit : edits) {
        size += edit_overhead + edit.text.size();
    }
    return size;
}

} // namespace gypsumstep::edge
