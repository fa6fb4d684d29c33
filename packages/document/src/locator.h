/// \file
/// Finds the line and column of JSON tokens.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gypsumstep::document::detail {

/// A line and a column, both counted from 1. Columns count UTF-8 code points.
struct line_column {
    std::uint32_t line{1};
    std::uint32_t column{1};
};

/// Scans the tokens of a JSON text in step with a parser that does not report positions.
///
/// The parser calls its handler once for each token other than ',' and ':', so the
/// handler calls next_token() once in each callback to learn where that token began.
class token_locator {
public:
    explicit token_locator(std::string_view text);

    /// Returns the start of the next token and moves past it.
    line_column next_token();

    /// Returns the start of the next token without moving past it.
    line_column peek();

private:
    void skip_separators();
    void skip_comment();
    void skip_string();
    void advance();
    [[nodiscard]] bool at_end() const { return m_offset >= m_text.size(); }
    [[nodiscard]] char current() const { return m_text[m_offset]; }

    std::string_view m_text;
    std::size_t m_offset{0};
    line_column m_place;
};

} // namespace gypsumstep::document::detail
