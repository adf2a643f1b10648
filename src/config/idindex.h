#pragma once

#include "papayastep/base/hashing.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayastep::config {

/// From an id to the place of its entry, by open addressing. One flat array: the nodes of a hash map would lie between
/// the strings of the entries, and stay as holes in a node's memory once the merge is over.
template<typename Entry>
class IdIndex
{
public:
    static constexpr std::uint32_t none = 0;

    /// The place of the entry called `id` plus one, or none.
    std::uint32_t find(std::string_view id, const std::vector<Entry> &entries) const
    {
        return m_slots.empty() ? none : m_slots[slotOf(id, entries)];
    }

    /// Notes the last of `entries`, whose id is new.
    void noteLast(const std::vector<Entry> &entries)
    {
        if (entries.size() * 2 > m_slots.size()) {
            rebuild(entries);
        } else {
            note(entries, entries.size());
        }
    }

private:
    std::size_t slotOf(std::string_view id, const std::vector<Entry> &entries) const
    {
        const std::size_t mask = m_slots.size() - 1;
        std::size_t slot = base::stableHash(id) & mask;
        while (m_slots[slot] != none && entries[m_slots[slot] - 1].id.value() != id) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    void note(const std::vector<Entry> &entries, std::size_t count)
    {
        m_slots[slotOf(entries[count - 1].id.value(), entries)] = static_cast<std::uint32_t>(count);
    }

    void rebuild(const std::vector<Entry> &entries)
    {
        m_slots.assign(m_slots.empty() ? 16 : m_slots.size() * 2, none);
        for (std::size_t count = 1; count <= entries.size(); ++count) {
            note(entries, count);
        }
    }

    std::vector<std::uint32_t> m_slots;
};

}
