#include "internal.h"

#include <algorithm>

// Tables as messages: digests in ascending order as differences, and only the
// counts that some key has.
namespace geraniumpond::fleet {

namespace {

using CountTables = google::protobuf::RepeatedPtrField<wire::CountTable>;
using Entry = rollup::Table::const_iterator;

std::uint32_t WidthOf(Entry aFirst, Entry aLast)
{
  std::uint32_t width = 0;
  for (Entry entry = aFirst; entry != aLast; ++entry) {
    for (std::uint32_t i = width; i < rollup::kCountsPerKey; ++i) {
      width = entry->second.at(i) != 0 ? i + 1 : width;
    }
  }
  return width;
}

void WriteSubject(Entry aFirst, Entry aLast, wire::CountTable& aTable)
{
  const std::uint32_t width = WidthOf(aFirst, aLast);
  aTable.set_subject(static_cast<std::uint32_t>(aFirst->first.mSubject));
  aTable.set_width(width);
  std::uint64_t previous = 0;
  for (Entry entry = aFirst; entry != aLast; ++entry) {
    aTable.add_gaps(entry->first.mDigest - previous);
    previous = entry->first.mDigest;
    for (std::uint32_t i = 0; i < width; ++i) {
      aTable.add_counts(entry->second.at(i));
    }
  }
}

// Keys are ordered by subject first.
void Write(const rollup::Table& aTable, CountTables& aTables)
{
  Entry first = aTable.begin();
  while (first != aTable.end()) {
    const Entry last =
      std::find_if(first, aTable.end(), [&](const auto& aEntry) {
        return aEntry.first.mSubject != first->first.mSubject;
      });
    WriteSubject(first, last, *aTables.Add());
    first = last;
  }
}

bool ReadSubject(const wire::CountTable& aFrom, rollup::Table& aTable)
{
  const std::uint32_t width = aFrom.width();
  const auto expected = static_cast<std::uint64_t>(aFrom.gaps_size()) * width;
  if (aFrom.subject() >= rollup::kSubjectCount ||
      width > rollup::kCountsPerKey ||
      static_cast<std::uint64_t>(aFrom.counts_size()) != expected) {
    return false;
  }
  rollup::Key key{ static_cast<rollup::Subject>(aFrom.subject()), 0 };
  int next = 0;
  for (const std::uint64_t gap : aFrom.gaps()) {
    key.mDigest += gap;
    rollup::Counts counts{};
    for (std::uint32_t i = 0; i < width; ++i) {
      counts.at(i) = aFrom.counts(next++);
    }
    aTable.emplace_hint(aTable.end(), key, counts);
  }
  return true;
}

bool Read(const CountTables& aTables, rollup::Table& aTable)
{
  return std::all_of(
    aTables.begin(), aTables.end(), [&](const wire::CountTable& aFrom) {
      return ReadSubject(aFrom, aTable);
    });
}

} // namespace

wire::CountsReport ToWire(const rollup::Report& aReport)
{
  wire::CountsReport message;
  Write(aReport.mSum.mTable, *message.mutable_tables());
  message.set_hosts(aReport.mSum.mHosts);
  message.set_height(aReport.mHeight);
  message.set_incarnation(aReport.mIncarnation);
  message.set_sequence(aReport.mSequence);
  message.set_sent_at(static_cast<std::uint64_t>(aReport.mSentAt));
  message.set_urgent(aReport.mUrgent);
  return message;
}

std::optional<rollup::Report> FromWire(const wire::CountsReport& aMessage)
{
  rollup::Report report;
  if (!Read(aMessage.tables(), report.mSum.mTable)) {
    return std::nullopt;
  }
  report.mSum.mHosts = aMessage.hosts();
  report.mHeight = aMessage.height();
  report.mIncarnation = aMessage.incarnation();
  report.mSequence = aMessage.sequence();
  report.mSentAt = static_cast<Micros>(aMessage.sent_at());
  report.mUrgent = aMessage.urgent();
  return report;
}

wire::CountsTotals ToWire(const rollup::Totals& aTotals)
{
  wire::CountsTotals message;
  Write(aTotals.mSum.mTable, *message.mutable_tables());
  message.set_hosts(aTotals.mSum.mHosts);
  message.set_silent(aTotals.mSilent);
  message.set_term(aTotals.mStamp.mTerm);
  message.set_sequence(aTotals.mStamp.mSequence);
  return message;
}

std::optional<rollup::Totals> FromWire(const wire::CountsTotals& aMessage)
{
  rollup::Totals totals;
  if (!Read(aMessage.tables(), totals.mSum.mTable)) {
    return std::nullopt;
  }
  totals.mSum.mHosts = aMessage.hosts();
  totals.mSilent = aMessage.silent();
  totals.mStamp = { aMessage.term(), aMessage.sequence() };
  return totals;
}

} // namespace geraniumpond::fleet
