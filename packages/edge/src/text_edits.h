/// \file
/// Differences between two versions of a large text.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::edge {

/// Copies a part of the old text, then adds new text.
struct text_edit {
    std::size_t offset{0}; ///< of the copied part, in bytes
    std::size_t length{0};
    std::string text;

    friend bool operator==(const text_edit&, const text_edit&) = default;
};

/// Returns edits that turn \p from into \p to. They are short if the texts hold mostly the same
/// objects of JSON, in any order; otherwise they may be as long as \p to.
[[nodiscard]] std::vector<text_edit> edits_between(std::string_view from, std::string_view to);

/// Returns the edited text; nothing if an edit copies what \p from does not have.
[[nodiscard]] std::optional<std::string> apply_edits(std::string_view from,
                                                     const std::vector<text_edit>& edits);

/// Returns about how many bytes the edits take in a message.
[[nodiscard]] std::size_t size_of(const std::vector<text_edit>& edits);

} // namespace gypsumstep::edge
