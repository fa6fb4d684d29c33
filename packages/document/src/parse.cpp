#include "gypsumstep/document/parse.h"

#include "gypsumstep/document/path.h"
#include "locator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace gypsumstep::document {

namespace {

using json = nlohmann::json;

/// Builds nodes from the SAX callbacks of nlohmann's parser.
class node_builder final : public nlohmann::json_sax<json> {
public:
    node_builder(std::string_view text, std::string file_name)
        : m_locator{text}, m_file_name{std::move(file_name)}
    {
    }

    [[nodiscard]] checked<node> finish()
    {
        return make_checked(std::move(m_root), std::move(m_problems));
    }

    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(std::int64_t value) override { return add(value); }
    bool number_unsigned(std::uint64_t value) override { return add(value); }
    bool number_float(double value, const std::string& /*token*/) override { return add(value); }
    bool string(std::string& value) override { return add(std::move(value)); }
    bool binary(json::binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*count*/) override { return open(object{}); }
    bool start_array(std::size_t /*count*/) override { return open(array{}); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(std::string& value) override
    {
        const source_place place = next_place();
        m_open.back().key = value;
        m_open.back().key_place = place;
        const auto& members = std::get<object>(m_open.back().value.value);
        if (std::ranges::any_of(members, [&](const member& other) { return other.key == value; })) {
            report(place, child_path(path(), value), "duplicate key");
        }
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& cause) override
    {
        report(next_place(), path(), "syntax error: " + without_position(cause.what()));
        return false;
    }

private:
    struct open_container {
        node value;
        std::string key;
        source_place key_place;
    };

    source_place next_place()
    {
        const auto place = m_locator.next_token();
        return {m_file_name, place.line, place.column};
    }

    bool add(node::value_type value)
    {
        attach(node{next_place(), std::move(value)});
        return true;
    }

    bool open(node::value_type empty)
    {
        const source_place place = next_place();
        if (m_open.size() >= max_depth) {
            report(place, path(), "nested deeper than " + std::to_string(max_depth) + " levels");
            return false;
        }
        m_open.push_back({node{place, std::move(empty)}, {}, {}});
        return true;
    }

    bool close()
    {
        m_locator.next_token();
        node closed = std::move(m_open.back().value);
        m_open.pop_back();
        attach(std::move(closed));
        return true;
    }

    void attach(node value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return;
        }
        auto& parent = m_open.back();
        if (auto* members = std::get_if<object>(&parent.value.value)) {
            members->push_back({parent.key, parent.key_place, std::move(value)});
            return;
        }
        std::get<array>(parent.value.value).push_back(std::move(value));
    }

    /// The path of the innermost open container.
    [[nodiscard]] std::string path() const
    {
        std::string result;
        for (std::size_t i = 0; i + 1 < m_open.size(); ++i) {
            const auto* elements = std::get_if<array>(&m_open[i].value.value);
            result = elements == nullptr ? child_path(result, m_open[i].key)
                                         : child_path(result, elements->size());
        }
        return result;
    }

    void report(const source_place& place, std::string path, std::string message)
    {
        m_problems.push_back({place, std::move(path), std::move(message)});
    }

    /// The parser's message without its position, which counts bytes rather than columns.
    static std::string without_position(const std::string& message)
    {
        const auto colon = message.find(": ");
        return colon == std::string::npos ? message : message.substr(colon + 2);
    }

    detail::token_locator m_locator;
    std::string m_file_name;
    std::vector<open_container> m_open;
    std::optional<node> m_root;
    findings m_problems;
};

} // namespace

checked<node> parse(std::string_view text, const std::string& file_name)
{
    node_builder builder{text, file_name};
    constexpr bool strict = true;
    constexpr bool ignore_comments = true;
    json::sax_parse(text.begin(), text.end(), &builder, nlohmann::detail::input_format_t::json,
                    strict, ignore_comments);
    return builder.finish();
}

} // namespace gypsumstep::document
