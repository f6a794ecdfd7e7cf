#include "failure_detection/peer_identities.h"

#include <algorithm>

namespace cluster_manager::failure_detection {

PeerId PeerIdentities::Add(Node node, Time established_at, int incarnation, Time span) {
  Peer& peer = peers_[++last_];
  peer.node = node;
  peer.established_at = established_at;
  peer.known_since = span;
  peer.incarnation = incarnation;
  return last_;
}

void PeerIdentities::Close(PeerId peer, Time span) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) it->second.closed_at = span;
}

void PeerIdentities::RecordListContact(Time span) {
  if (contact_at_ == 0 || span - contact_at_ > kMaxContactInterval) contact_since_ = span;
  contact_at_ = span;
  if (span - contact_since_ >= kCatchUpTime) up_to_date_at_ = span;
}

void PeerIdentities::ConfirmIfSameProcess(PeerId peer, PeerId confirmed, Time heard_at) {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || !IsConfirmed(confirmed)) return;
  Peer& other = it->second;
  if (!other.disputed && heard_at >= other.established_at + kTransitTime) other.proven = true;
}

void PeerIdentities::RecordSend(PeerId peer, Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  if (IsConfirmed(it->second)) {
    it->second.sends.clear();
  } else {
    it->second.sends.push_back(now);
  }
}

std::vector<PeerIdentities::Time> PeerIdentities::Apply(const Replacement& replacement) {
  std::vector<Time> sends;
  for (auto& [id, peer] : peers_) {
    if (peer.node != replacement.node || IsConfirmed(peer)) continue;
    const bool start_known = replacement.successor_started_at > 0;
    const bool last_of_several = peer.incarnation > 0 && peer.incarnation == replacement.current_incarnation;
    const bool of_successor =
        start_known ? peer.established_at >= replacement.successor_started_at : last_of_several;
    if (of_successor) {
      peer.node = replacement.successor;
      sends.insert(sends.end(), peer.sends.begin(), peer.sends.end());
    } else if (!start_known) {
      peer.disputed = true;
    }
  }
  std::ranges::sort(sends);
  return sends;
}

bool PeerIdentities::IsConfirmed(const Peer& peer) const {
  if (peer.disputed) return false;
  return peer.proven || peer.known_since + kMaxListDelay <= up_to_date_at_;
}

bool PeerIdentities::IsConfirmed(PeerId peer) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && IsConfirmed(it->second);
}

std::optional<PeerIdentities::Node> PeerIdentities::ConfirmedNode(PeerId peer) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || !IsConfirmed(it->second)) return std::nullopt;
  return it->second.node;
}

std::optional<PeerIdentities::Node> PeerIdentities::PresumedNode(PeerId peer) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return std::nullopt;
  return it->second.node;
}

bool PeerIdentities::IsUsableBy(PeerId peer, Time span) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return false;
  if (it->second.closed_at == 0 || IsConfirmed(it->second)) return true;
  return !it->second.disputed && it->second.known_since + kMaxListDelay <= span;
}

void PeerIdentities::ForgetClosed(Time span) {
  std::erase_if(peers_, [span](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.closed_at > 0 && span - peer.closed_at >= kClosedRetention;
  });
}

}  // namespace cluster_manager::failure_detection
