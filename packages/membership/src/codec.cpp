#include "gypsumstep/membership/codec.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace gypsumstep::membership {
namespace {

using nlohmann::json;

void append(json& out, const endpoint& value)
{
    out.push_back(value.ip);
    out.push_back(value.port);
}

json to_json(const member_record& value)
{
    json out{0};
    append(out, value.address);
    out.push_back(value.failure_domain.value());
    out.push_back(value.run.value());
    out.push_back(value.incarnation);
    out.push_back(static_cast<std::uint8_t>(value.status));
    return out;
}

json to_json(const payload& value)
{
    return json::array({1, value.key, value.version, static_cast<std::uint8_t>(value.retention),
                        json::binary({value.body.begin(), value.body.end()})});
}

json to_json(const rumours& news)
{
    json out = json::array();
    for (const rumour& item : news) {
        out.push_back(std::visit([](const auto& kind) { return to_json(kind); }, item));
    }
    return out;
}

json to_json(const snapshot_cursor& cursor)
{
    json out{static_cast<std::uint8_t>(cursor.stage)};
    append(out, cursor.after);
    out.push_back(cursor.after_key);
    return out;
}

void append(json& out, const ping& value)
{
    out.insert(out.end(), {value.sequence, value.digest, to_json(value.news)});
}

void append(json& out, const ack& value)
{
    out.insert(out.end(), {value.sequence, value.digest, to_json(value.news)});
}

void append(json& out, const ping_request& value)
{
    out.push_back(value.sequence);
    append(out, value.target);
}

void append(json& out, const indirect_ack& value)
{
    out.push_back(value.sequence);
}

void append(json& out, const gossip& value)
{
    out.push_back(to_json(value.news));
}

void append(json& out, const snapshot_request& value)
{
    out.push_back(to_json(value.self));
    out.push_back(to_json(value.cursor));
}

void append(json& out, const snapshot_chunk& value)
{
    out.push_back(to_json(value.next));
    out.push_back(to_json(value.news));
}

void append(json& out, const sync_request& value)
{
    out.push_back(value.buckets);
}

/// Reads the fields of one array in order; any mismatch makes the whole read fail.
class field_reader {
public:
    explicit field_reader(const json& fields) : m_fields{fields}, m_ok{fields.is_array()} {}

    template <class Integer>
    void read(Integer& value, std::uint64_t limit = std::numeric_limits<Integer>::max())
    {
        const json* field = next();
        if (field == nullptr || !field->is_number_unsigned() ||
            field->get<std::uint64_t>() > limit) {
            m_ok = false;
            return;
        }
        value = static_cast<Integer>(field->get<std::uint64_t>());
    }

    template <class Enum>
    void read_enum(Enum& value, Enum last)
    {
        std::uint8_t number = 0;
        read(number, static_cast<std::uint8_t>(last));
        value = static_cast<Enum>(number);
    }

    template <class Tag, class Rep>
    void read(strong_value<Tag, Rep>& value)
    {
        Rep number = 0;
        read(number);
        value = strong_value<Tag, Rep>{number};
    }

    void read(endpoint& value)
    {
        read(value.ip);
        read(value.port);
    }

    void read(std::string& value)
    {
        const json* field = next();
        if (field == nullptr || !(field->is_string() || field->is_binary())) {
            m_ok = false;
            return;
        }
        if (field->is_string()) {
            value = field->get<std::string>();
            return;
        }
        const auto& bytes = field->get_binary();
        value.assign(bytes.begin(), bytes.end());
    }

    /// The next field, or null; a nested array is read by its own reader.
    const json* next()
    {
        if (!m_ok || m_index >= m_fields.size()) {
            m_ok = false;
            return nullptr;
        }
        return &m_fields[m_index++];
    }

    /// Reads a nested array by \p read_fields, which returns whether it succeeded.
    template <class Read>
    void read_nested(Read read_fields)
    {
        const json* field = next();
        m_ok = field != nullptr && read_fields(field_reader{*field});
    }

    void fail() { m_ok = false; }

    /// True if every field was read, and none is left.
    [[nodiscard]] bool done() const { return m_ok && m_index == m_fields.size(); }

    [[nodiscard]] bool ok() const { return m_ok; }
    [[nodiscard]] bool has_more() const { return m_ok && m_index < m_fields.size(); }

private:
    const json& m_fields;
    bool m_ok;
    std::size_t m_index{0};
};

bool read_rumour(field_reader fields, rumour& value)
{
    std::uint8_t kind = 0;
    fields.read(kind, 1);
    if (kind == 0) {
        member_record record;
        fields.read(record.address);
        fields.read(record.failure_domain);
        fields.read(record.run);
        fields.read(record.incarnation);
        fields.read_enum(record.status, member_status::left);
        value = record;
        return fields.done();
    }
    payload content;
    fields.read(content.key);
    fields.read(content.version);
    fields.read_enum(content.retention, payload_retention::transient);
    fields.read(content.body);
    value = content;
    return fields.done() && is_valid(content);
}

void read_news(field_reader& fields, rumours& news)
{
    fields.read_nested([&](field_reader items) {
        while (items.has_more()) {
            rumour item;
            items.read_nested([&](field_reader inner) { return read_rumour(inner, item); });
            news.push_back(std::move(item));
        }
        return items.done();
    });
}

void read_cursor(field_reader& fields, snapshot_cursor& cursor)
{
    fields.read_nested([&](field_reader inner) {
        inner.read_enum(cursor.stage, snapshot_stage::complete);
        inner.read(cursor.after);
        inner.read(cursor.after_key);
        return inner.done();
    });
}

void read_message(field_reader& fields, ping& value)
{
    fields.read(value.sequence);
    fields.read(value.digest);
    read_news(fields, value.news);
}

void read_message(field_reader& fields, ack& value)
{
    fields.read(value.sequence);
    fields.read(value.digest);
    read_news(fields, value.news);
}

void read_message(field_reader& fields, ping_request& value)
{
    fields.read(value.sequence);
    fields.read(value.target);
}

void read_message(field_reader& fields, indirect_ack& value)
{
    fields.read(value.sequence);
}

void read_message(field_reader& fields, gossip& value)
{
    read_news(fields, value.news);
}

void read_message(field_reader& fields, snapshot_request& value)
{
    fields.read_nested([&](field_reader inner) {
        rumour self;
        const bool complete = read_rumour(inner, self);
        const auto* record = std::get_if<member_record>(&self);
        value.self = record != nullptr ? *record : member_record{};
        return complete && record != nullptr;
    });
    read_cursor(fields, value.cursor);
}

void read_message(field_reader& fields, snapshot_chunk& value)
{
    read_cursor(fields, value.next);
    read_news(fields, value.news);
}

void read_message(field_reader& fields, sync_request& value)
{
    fields.read_nested([&](field_reader inner) {
        for (std::uint32_t& bucket : value.buckets) {
            inner.read(bucket);
        }
        return inner.done();
    });
}

/// The parsed bytes; discarded if they are not CBOR.
json parse(std::span<const std::uint8_t> bytes)
{
    try {
        return json::from_cbor(bytes.begin(), bytes.end(), true, false);
    }
    catch (const json::exception&) {
        // Thrown for an excessive array size although exceptions are not allowed.
        return json{json::value_t::discarded};
    }
}

/// Sets \p value to the alternative of this index.
template <std::size_t... Index>
void select_kind(message& value, std::size_t kind, std::index_sequence<Index...> /*indexes*/)
{
    static_cast<void>(((kind == Index ? (value.emplace<Index>(), true) : false) || ...));
}

} // namespace

std::vector<std::uint8_t> encode(const message& value)
{
    json out{value.index()};
    std::visit([&](const auto& kind) { append(out, kind); }, value);
    return json::to_cbor(out);
}

result<message> decode(std::span<const std::uint8_t> bytes)
{
    const auto malformed = [](const char* reason) {
        return error{error_code::invalid_argument, std::string{"gossip message: "} + reason};
    };
    const json parsed = parse(bytes);
    if (parsed.is_discarded()) {
        return malformed("not CBOR");
    }
    field_reader fields{parsed};
    constexpr std::size_t kinds = std::variant_size_v<message>;
    std::uint8_t kind = 0;
    fields.read(kind, kinds - 1);
    message value;
    select_kind(value, kind, std::make_index_sequence<kinds>{});
    std::visit([&](auto& content) { read_message(fields, content); }, value);
    if (!fields.done()) {
        return malformed("unexpected fields");
    }
    return value;
}

} // namespace gypsumstep::membership
