#include "gypsumstep/membership/message.h"

#include <limits>

namespace gypsumstep::membership {
namespace {

/// Length of a CBOR head that carries \p value.
std::size_t head_size(std::uint64_t value)
{
    constexpr std::uint64_t largest_inline = 23;
    if (value <= largest_inline) {
        return 1;
    }
    if (value <= std::numeric_limits<std::uint8_t>::max()) {
        return 2;
    }
    if (value <= std::numeric_limits<std::uint16_t>::max()) {
        return 3;
    }
    return value <= std::numeric_limits<std::uint32_t>::max() ? 5 : 9;
}

std::size_t size_of(const std::string& text)
{
    return head_size(text.size()) + text.size();
}

std::size_t size_of(const endpoint& value)
{
    return head_size(value.ip) + head_size(value.port);
}

/// Array head, index in the variant, fields.
std::size_t size_of(const member_record& value)
{
    return 2 + size_of(value.address) + head_size(value.failure_domain.value()) +
           head_size(value.run.value()) + head_size(value.incarnation) + 1;
}

std::size_t size_of(const payload& value)
{
    return 2 + size_of(value.key) + head_size(value.version) + 1 + size_of(value.body);
}

std::size_t size_of(const rumours& news)
{
    std::size_t total = head_size(news.size());
    for (const rumour& value : news) {
        total += encoded_size(value);
    }
    return total;
}

std::size_t size_of(const snapshot_cursor& cursor)
{
    return 2 + size_of(cursor.after) + size_of(cursor.after_key);
}

std::size_t size_of(const ping& value)
{
    return head_size(value.sequence) + head_size(value.digest) + size_of(value.news);
}

std::size_t size_of(const ack& value)
{
    return head_size(value.sequence) + head_size(value.digest) + size_of(value.news);
}

std::size_t size_of(const ping_request& value)
{
    return head_size(value.sequence) + size_of(value.target);
}

std::size_t size_of(const indirect_ack& value)
{
    return head_size(value.sequence);
}

std::size_t size_of(const gossip& value)
{
    return size_of(value.news);
}

std::size_t size_of(const snapshot_request& value)
{
    return size_of(value.self) + size_of(value.cursor);
}

std::size_t size_of(const snapshot_chunk& value)
{
    return size_of(value.next) + size_of(value.news);
}

std::size_t size_of(const sync_request& value)
{
    std::size_t total = head_size(value.buckets.size());
    for (const std::uint32_t bucket : value.buckets) {
        total += head_size(bucket);
    }
    return total;
}

} // namespace

std::size_t encoded_size(const rumour& value)
{
    return std::visit([](const auto& kind) { return size_of(kind); }, value);
}

std::size_t encoded_size(const message& value)
{
    return 2 + std::visit([](const auto& kind) { return size_of(kind); }, value);
}

} // namespace gypsumstep::membership
