/// \file
/// Takes typed fields out of a JSON object and collects every problem.
#pragma once

#include "gypsumstep/document/node.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumstep::document {

/// Where a converter reports problems: the findings so far and the path of its value.
class reading {
public:
    reading(findings& problems, std::string path) : m_problems{&problems}, m_path{std::move(path)}
    {
    }

    /// JSON pointer of the value that is read; empty for the root.
    [[nodiscard]] const std::string& path() const { return m_path; }

    /// The reading of a key of this object.
    [[nodiscard]] reading child(std::string_view key) const;

    /// The reading of an element of this array.
    [[nodiscard]] reading child(std::size_t index) const;

    /// Adds a finding about this value.
    void report(const source_place& place, std::string message,
                severity level = severity::error) const;

private:
    findings* m_problems;
    std::string m_path;
};

/// Reads one value as a T. It reports why it returns nothing.
template <class C, class T>
concept converter_to = requires(const C& convert, const node& value, const reading& context)
{
    {
        convert(value, context)
        } -> std::same_as<std::optional<T>>;
};

/// Takes the fields of one object. Call finish() last: it reports the keys never asked for.
class object_reader {
public:
    /// Reports a finding if \p value is not an object; every field is then left out quietly.
    object_reader(const node& value, reading context);

    /// Reads a field that must be there.
    template <class T, converter_to<T> C>
    bool required(std::string_view key, const C& convert, T& target)
    {
        const member* found = find(key);
        if (found == nullptr) {
            report_missing(key);
            return false;
        }
        return assign(*found, convert, target);
    }

    /// Reads a field; \p target keeps its value if the field is not there.
    template <class T, converter_to<T> C>
    bool optional(std::string_view key, const C& convert, T& target)
    {
        const member* found = find(key);
        return found != nullptr && assign(*found, convert, target);
    }

    /// Reports unknown keys. True if the value is an object.
    bool finish();

private:
    const member* find(std::string_view key);
    void report_missing(std::string_view key) const;

    template <class T, class C>
    bool assign(const member& found, const C& convert, T& target)
    {
        auto converted = convert(found.value, m_context.child(found.key));
        if (!converted) {
            return false;
        }
        target = std::move(*converted);
        return true;
    }

    const node* m_value;
    const object* m_members{nullptr};
    reading m_context;
    std::vector<std::string_view> m_known;
};

} // namespace gypsumstep::document
