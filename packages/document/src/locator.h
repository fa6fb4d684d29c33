/// \file
/// Finds the places of JSON tokens.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gypsumstep::document::detail {

/// A line and a column, both from 1; a column counts code points of UTF-8.
struct line_column {
    std::uint32_t line{1};
    std::uint32_t column{1};
};

/// Walks over the tokens of a JSON text beside a parser that does not report places.
///
/// The parser calls its handler once for each token other than ',' and ':', so the
/// handler calls next_token() once in each callback to learn where that token began.
class token_locator {
public:
    explicit token_locator(std::string_view text);

    /// The start of the next token, which is then passed.
    line_column next_token();

    /// The start of the next token, which stays the next one.
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
