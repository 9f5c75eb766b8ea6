// Settings of a host, read from JSON with comments. The schema is proto/settings.proto.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

struct ListenSettings {
  std::string m_Address = "127.0.0.1";
  uint16_t m_Port = 0;
  bool m_IsPlainText = false;    // disables TLS
  std::string m_CertificateFile; // PEM
  std::string m_KeyFile;         // PEM
  std::string m_AuthorityFile;   // PEM; CA for certificates of other hosts
};

struct FrontSettings {
  uint32_t m_MaxHeaderBytes = 16 * 1024;
  uint32_t m_MaxBodyBytes = 256 * 1024;
  uint32_t m_MaxConnections = 10000;
  uint32_t m_MaxInProgress = 4000;
  uint32_t m_ReservedDescriptors = 64; // below the limit of the process, not for these connections
  uint32_t m_MaxBufferedBytes = 256 * 1024 * 1024; // of all connections
  uint32_t m_TrafficThreadCount = 2;
  Millis m_HeaderTimeout{5000};
  Millis m_IdleTimeout{60000};
  Millis m_WriteTimeout{30000};  // for the caller to read an answer
  Millis m_RequestTimeout{5000}; // default if a request has no deadline
  Millis m_MaxRequestTimeout{30000};
};

struct DrainSettings {
  Millis m_NoticeDuration{2000}; // from announcing the drain to refusing new connections
  Millis m_DrainTimeout{30000};  // to complete requests in progress
};

struct SyncSettings {
  Millis m_ExchangeInterval{200};
  Millis m_PlatformTimeout{1000};
  Millis m_CutOffLimit{
      0}; // requests with a key are refused after this time without contact; 0 = never
};

struct Settings {
  std::string m_HostId;
  std::string m_DataCentre;
  ListenSettings m_Callers;                     // HTTP
  ListenSettings m_Peers;                       // gRPC, other hosts
  ListenSettings m_Operators;                   // gRPC
  ListenSettings m_MetricsListen;               // HTTP: /metrics, /health, /ready, /dump
  std::vector<std::string> m_PlatformAddresses; // IP:port
  std::vector<std::string>
      m_SeedPeers; // IP:port of other hosts, used until a host list has been read
  std::string m_TokenSecret;
  std::string m_KeyPepper;
  std::string m_OperatorSecret;
  std::string m_PeerSecret; // sent as gRPC metadata between hosts
  bool m_IsLogJson = false;
  FrontSettings m_Front;
  DrainSettings m_Drain;
  SyncSettings m_Sync;
  RateSettings m_Rate;
  QueueSettings m_Queue;
  PoolSettings m_Pool;
  RouteSettings m_Route;
  MembershipSettings m_Membership;
  FailoverSettings m_Failover;
};

struct SettingsError {
  std::string m_File;
  uint32_t m_Line = 0; // 0 if not known
  std::string m_Field;
  std::string m_Message;
};

// Parses and validates settings text. File is used in error messages only. Returns all errors
// found, not only the first.
std::variant<Settings, std::vector<SettingsError>> parseSettings(const std::string &Text,
                                                                 const std::string &File);

// Returns path and value of every field except secrets, in the order of formatDefaultSettings().
std::vector<std::pair<std::string, std::string>> listSettings(const Settings &Values);

// Returns a commented example in which every field has its default value. Required fields, which
// have no default, have an example value.
std::string formatDefaultSettings();

} // namespace quetzalpaddle
