#include "locator.h"

namespace gypsumstep::document::detail {

namespace {

constexpr std::string_view byte_order_mark{"\xEF\xBB\xBF"};

bool is_continuation_byte(char value)
{
    return (static_cast<unsigned char>(value) & 0xC0U) == 0x80U;
}

} // namespace

token_locator::token_locator(std::string_view text) : m_text{text}
{
    if (m_text.starts_with(byte_order_mark)) {
        m_offset = byte_order_mark.size();
    }
}

line_column token_locator::next_token()
{
    const line_column start = peek();
    if (at_end()) {
        return start;
    }
    if (current() == '"') {
        skip_string();
        return start;
    }
    if (std::string_view{"{}[]"}.find(current()) != std::string_view::npos) {
        advance();
        return start;
    }
    constexpr std::string_view delimiters{" \t\r\n,:{}[]\"/"};
    while (!at_end() && delimiters.find(current()) == std::string_view::npos) {
        advance();
    }
    return start;
}

line_column token_locator::peek()
{
    skip_separators();
    return m_place;
}

void token_locator::skip_separators()
{
    constexpr std::string_view separators{" \t\r\n,:"};
    while (!at_end()) {
        if (current() == '/') {
            skip_comment();
        }
        else if (separators.find(current()) != std::string_view::npos) {
            advance();
        }
        else {
            return;
        }
    }
}

void token_locator::skip_comment()
{
    const bool is_block = m_text.substr(m_offset, 2) == "/*";
    const std::string_view closing = is_block ? "*/" : "\n";
    advance();
    advance();
    while (!at_end() && m_text.substr(m_offset, closing.size()) != closing) {
        advance();
    }
    for (std::size_t i = 0; i < closing.size(); ++i) {
        advance();
    }
}

void token_locator::skip_string()
{
    advance();
    while (!at_end() && current() != '"') {
        if (current() == '\\') {
            advance();
        }
        advance();
    }
    advance();
}

void token_locator::advance()
{
    if (at_end()) {
        return;
    }
    const char skipped = current();
    ++m_offset;
    if (skipped == '\n') {
        ++m_place.line;
        m_place.column = 1;
    }
    else if (at_end() || !is_continuation_byte(current())) {
        ++m_place.column;
    }
}

} // namespace gypsumstep::document::detail
