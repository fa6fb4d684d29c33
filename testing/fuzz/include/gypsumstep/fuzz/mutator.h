/// \file
/// Changes inputs at random and reproducibly from a seed.
#pragma once

#include "gypsumstep/base/random.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumstep::fuzz {

/// Derives nearly valid inputs from valid ones.
class mutator {
public:
    /// \p dictionary holds the tokens to insert; it must not be empty.
    mutator(std::uint64_t seed, std::vector<std::string_view> dictionary)
        : m_random{seed}, m_dictionary{std::move(dictionary)}
    {
    }

    /// \p input after 1 to \p max_changes random changes.
    [[nodiscard]] std::string mutate(std::string input, std::uint64_t max_changes)
    {
        const std::uint64_t changes = 1 + m_random.below(max_changes);
        for (std::uint64_t i = 0; i < changes; ++i) {
            change(input);
        }
        return input;
    }

    /// \p input with 1 to \p max_changes tokens of the dictionary inserted.
    [[nodiscard]] std::string insert_tokens(std::string input, std::uint64_t max_changes)
    {
        const std::uint64_t changes = 1 + m_random.below(max_changes);
        for (std::uint64_t i = 0; i < changes; ++i) {
            insert_token(input);
        }
        return input;
    }

private:
    static constexpr std::uint64_t longest_range = 40;
    static constexpr std::uint64_t byte_values = 256;

    void change(std::string& input)
    {
        enum : std::uint64_t { overwrite, erase, repeat, truncate, token, kinds };
        const std::size_t at = position(input);
        const std::size_t length = m_random.below(longest_range);
        switch (m_random.below(kinds)) {
        case overwrite:
            if (at < input.size()) {
                input[at] = static_cast<char>(m_random.below(byte_values));
            }
            break;
        case erase:
            input.erase(at, length);
            break;
        case repeat:
            input.insert(at, input.substr(position(input), length));
            break;
        case truncate:
            // Rare, because a short input finds few faults.
            if (m_random.below(longest_range) == 0) {
                input.resize(at);
            }
            break;
        default:
            insert_token(input);
            break;
        }
    }

    void insert_token(std::string& input)
    {
        input.insert(position(input), m_dictionary[m_random.below(m_dictionary.size())]);
    }

    std::size_t position(const std::string& input) { return m_random.below(input.size() + 1); }

    random_source m_random;
    std::vector<std::string_view> m_dictionary;
};

} // namespace gypsumstep::fuzz
