// gRPC server and client for calls between hosts (proto/peer.proto).
#pragma once

#include "instance_client.h"
#include "peer.pb.h"
#include "settings.h"

namespace quetzalpaddle {

enum class PeerError {
  NotSent,    // the host was not reached or refused the call: the request has not run
  Unanswered, // no answer: the request may have run
};

template <class T> using PeerHandler = std::function<void(std::variant<T, PeerError>)>;
template <class T> using PeerReplyCallback = std::function<void(T)>;

// Handlers of incoming requests, called through the server's Executor. Each calls its
// PeerReplyCallback once, at once or later.
struct PeerService {
  std::function<void(peer::ExchangeRequest, PeerReplyCallback<peer::ExchangeReply>)> m_Exchange;
  std::function<void(peer::ForwardRequest, PeerReplyCallback<peer::ForwardReply>)> m_Forward;
  std::function<void(peer::AcquireTokensRequest, PeerReplyCallback<peer::AcquireTokensReply>)>
      m_AcquireTokens;
  std::function<void(peer::GetConfigRequest, PeerReplyCallback<peer::GetConfigReply>)> m_GetConfig;
};

struct PeerServer; // releasing it stops it

// Starts a server. Calling hosts have to present Secret. Returns an error message on failure, such
// as a port in use.
std::variant<std::shared_ptr<PeerServer>, std::string> startPeerServer(const ListenSettings &Listen,
                                                                       const std::string &Secret,
                                                                       Executor Run,
                                                                       PeerService Service);

// Returns the port that the server listens on; the system chooses it if ListenSettings::m_Port is
// 0.
uint16_t getPeerPort(const PeerServer &Server);

struct PeerLinks; // gRPC channels to other hosts, by address

// Calls to other hosts present Secret, and the certificate of OwnListen unless it is plain text.
// Callback is called once, through Run. The functions are to be called on one thread.
std::shared_ptr<PeerLinks> openPeerLinks(const ListenSettings &OwnListen, const std::string &Secret,
                                         Executor Run);
void callExchange(PeerLinks &Links, const std::string &Address,
                  const peer::ExchangeRequest &Request, Duration Timeout,
                  PeerHandler<peer::ExchangeReply> Callback);
void callForward(PeerLinks &Links, const std::string &Address, const peer::ForwardRequest &Request,
                 Duration Timeout, PeerHandler<peer::ForwardReply> Callback);
void callAcquireTokens(PeerLinks &Links, const std::string &Address,
                       const peer::AcquireTokensRequest &Request, Duration Timeout,
                       PeerHandler<peer::AcquireTokensReply> Callback);
void callGetConfig(PeerLinks &Links, const std::string &Address,
                   const peer::GetConfigRequest &Request, Duration Timeout,
                   PeerHandler<peer::GetConfigReply> Callback);

} // namespace quetzalpaddle
