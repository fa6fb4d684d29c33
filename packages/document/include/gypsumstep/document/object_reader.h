/// \file
/// Reads typed fields from a JSON object and collects a finding for every problem.
#pragma once

#include "gypsumstep/document/node.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumstep::document {

/// Context of a converter: the path of its value, and the findings that it adds to.
/// Does not own the findings.
class read_context {
public:
    read_context(findings& problems, std::string path)
        : m_problems{&problems}, m_path{std::move(path)}
    {
    }

    /// JSON pointer of the value; empty for the root.
    [[nodiscard]] const std::string& path() const { return m_path; }

    /// The context of a member of this object.
    [[nodiscard]] read_context child(std::string_view key) const;

    /// The context of an element of this array.
    [[nodiscard]] read_context child(std::size_t index) const;

    /// Adds a finding about this value.
    void report(const source_place& place, std::string message,
                severity level = severity::error) const;

private:
    findings* m_problems;
    std::string m_path;
};

/// Reads one value as a T. Returns nullopt after it has reported why.
template <class C, class T>
concept converter_to = requires(const C& convert, const node& value, const read_context& context)
{
    {
        convert(value, context)
        } -> std::same_as<std::optional<T>>;
};

/// Reads the fields of one object. Call finish() last: it reports the keys that were not read.
class object_reader {
public:
    /// Reports a finding if \p value is not an object; then missing fields are not reported.
    object_reader(const node& value, read_context context);

    /// Reads a mandatory field. False after a finding if it is missing or invalid.
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

    /// Reads a field; \p target keeps its value if the field is missing.
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
    read_context m_context;
    std::vector<std::string_view> m_read_keys;
};

} // namespace gypsumstep::document
