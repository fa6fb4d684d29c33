#include "gypsumstep/session/setting_statement.h"

#include "gypsumstep/session/statement_class.h"

#include <algorithm>
#include <cctype>

namespace gypsumstep::session {
namespace {

bool is_space(char c)
{
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}

bool is_name_character(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.';
}

/// Splits a statement into tokens, from left to right.
class scanner {
public:
    explicit scanner(std::string_view text) : m_remaining{text} {}

    std::string_view word()
    {
        skip_space();
        const auto end =
            std::find_if_not(m_remaining.begin(), m_remaining.end(), is_name_character);
        const auto size = static_cast<std::size_t>(end - m_remaining.begin());
        const std::string_view found = m_remaining.substr(0, size);
        m_remaining.remove_prefix(size);
        return found;
    }

    bool symbol(char expected)
    {
        skip_space();
        if (m_remaining.empty() || m_remaining.front() != expected) {
            return false;
        }
        m_remaining.remove_prefix(1);
        return true;
    }

    /// Reads a quoted string, in which a quote is written twice, or a bare word.
    std::optional<std::string> value()
    {
        if (!symbol('\'')) {
            const std::string_view bare = word();
            return bare.empty() ? std::nullopt : std::optional{std::string{bare}};
        }
        std::string text;
        while (!m_remaining.empty()) {
            const char c = m_remaining.front();
            m_remaining.remove_prefix(1);
            if (c != '\'') {
                text.push_back(c);
                continue;
            }
            if (m_remaining.empty() || m_remaining.front() != '\'') {
                return text;
            }
            text.push_back('\'');
            m_remaining.remove_prefix(1);
        }
        return std::nullopt;
    }

    bool at_end()
    {
        (void)symbol(';');
        skip_space();
        return m_remaining.empty();
    }

private:
    void skip_space()
    {
        while (!m_remaining.empty() && is_space(m_remaining.front())) {
            m_remaining.remove_prefix(1);
        }
    }

    std::string_view m_remaining;
};

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

std::optional<setting_statement> parse_setting_statement(std::string_view sql)
{
    scanner scan{sql};
    const std::string_view verb = scan.word();
    const bool is_set = equals_ignoring_case(verb, "SET");
    if (!is_set && !equals_ignoring_case(verb, "SHOW")) {
        return std::nullopt;
    }
    const std::string_view name = scan.word();
    if (!name.starts_with(setting_prefix)) {
        return std::nullopt;
    }
    setting_statement statement;
    statement.name = name.substr(setting_prefix.size());
    if (!is_set) {
        statement.kind = setting_statement::action::show;
        return scan.at_end() ? std::optional{statement} : std::nullopt;
    }
    if (!scan.symbol('=') && !equals_ignoring_case(scan.word(), "TO")) {
        return std::nullopt;
    }
    auto value = scan.value();
    if (!value || !scan.at_end()) {
        return std::nullopt;
    }
    statement.value = std::move(*value);
    return statement;
}

std::vector<std::pair<std::string, std::string>> parse_startup_options(std::string_view options)
{
    std::vector<std::string> words;
    bool in_word = false;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (is_space(options[i])) {
            in_word = false;
            continue;
        }
        if (!in_word) {
            words.emplace_back();
            in_word = true;
        }
        if (options[i] == '\\' && i + 1 < options.size()) {
            ++i;
        }
        words.back().push_back(options[i]);
    }
    std::vector<std::pair<std::string, std::string>> settings;
    for (std::string_view word : words) {
        if (word.starts_with("-c")) {
            word.remove_prefix(2);
        }
        const auto equals = word.find('=');
        if (!word.starts_with(setting_prefix) || equals == std::string_view::npos) {
            continue;
        }
        settings.emplace_back(word.substr(setting_prefix.size(), equals - setting_prefix.size()),
                              word.substr(equals + 1));
    }
    return settings;
}

} // namespace gypsumstep::session
