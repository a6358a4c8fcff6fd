// Three members of a replicated log inside one program: the consensus part
// alone, with its messages, time and disk in the hands of the embedder.
#include <geraniumpond/geraniumpond.h>

#include <deque>
#include <iostream>
#include <map>

namespace gp = geraniumpond;

int main()
{
  std::vector<gp::wire::Peer> peers(3);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    peers[i].set_id("member-" + std::to_string(i));
  }
  std::map<std::string, gp::consensus::State> members;
  std::map<std::string, gp::consensus::Output> outputs;
  for (const gp::wire::Peer& peer : peers) {
    gp::consensus::Recovered disk;
    disk.mHard.set_storage(gp::consensus::kFoundingStorage);
    *disk.mSnapshot.mutable_membership() =
      gp::consensus::InitialMembership(peers);
    gp::consensus::Output& opened = outputs[peer.id()];
    members[peer.id()] = gp::consensus::Open(peer.id(), disk, 0, 1, opened);
  }

  std::deque<gp::wire::ConsensusMessage> network;
  int applied = 0;
  const auto perform = [&](gp::consensus::State& aMember,
                           gp::consensus::Output aOutput) {
    // A real embedder writes to its disk here, and calls Synced() afterwards.
    for (const gp::consensus::Write& write : aOutput.mWrites) {
      gp::consensus::Output synced;
      gp::consensus::MarkSynced(aMember, write.mSequence, synced);
      for (auto& message : synced.mMessages) {
        network.push_back(message);
      }
      for (const auto& entry : synced.mCommitted) {
        aOutput.mCommitted.push_back(entry);
      }
    }
    for (auto& message : aOutput.mMessages) {
      network.push_back(message);
    }
    for (const gp::wire::Entry& entry : aOutput.mCommitted) {
      if (!entry.command().empty()) {
        ++applied;
        std::cout << aMember.mId << " applies " << entry.command() << "\n";
      }
    }
  };

  for (auto& [id, member] : members) {
    perform(member, std::move(outputs[id]));
  }

  bool proposed = false;
  for (gp::Micros now = 0; now < 5 * gp::kSecond && applied < 3;
       now += 10 * gp::kMillisecond) {
    for (auto& [id, member] : members) {
      gp::consensus::Output output;
      gp::consensus::Tick(member, now, 7, output);
      perform(member, std::move(output));
      if (!proposed && gp::consensus::IsLeader(member)) {
        gp::consensus::Output proposal;
        proposed =
          gp::consensus::Propose(member, now, "hello", proposal).has_value();
        perform(member, std::move(proposal));
      }
    }
    while (!network.empty()) {
      const gp::wire::ConsensusMessage message = network.front();
      network.pop_front();
      gp::consensus::Output output;
      gp::consensus::State& to = members.at(message.to());
      gp::consensus::Receive(to, now, 7, message, output);
      perform(to, std::move(output));
    }
  }
  return applied == 3 ? 0 : 1;
}
