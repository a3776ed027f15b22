/*
 * Messages between the members of a data centre and between data centres. Each
 * message stays below 1400 bytes including the RPC header. The receiver
 * validates every field.
 */
const MSP_GOSSIP_NAME_MAX = 63;
const MSP_GOSSIP_ADDRESS_MAX = 45;
const MSP_GOSSIP_LOAD_MAX = 192;
const MSP_GOSSIP_UPDATES_MAX = 16;
const MSP_GOSSIP_LOADS_MAX = 16;
const MSP_GOSSIP_ENTRIES_MAX = 6;
const MSP_GOSSIP_SERVICES_MAX = 16;
const MSP_GOSSIP_CREDITS_MAX = 256;
const MSP_GOSSIP_SUMMARIES_MAX = 8;
const MSP_GOSSIP_PLACES_MAX = 96;

enum msp_gossip_state_t {
	MSP_GOSSIP_ALIVE = 0,
	MSP_GOSSIP_SUSPECT = 1,
	MSP_GOSSIP_LEAVING = 2,
	MSP_GOSSIP_DEAD = 3
};

/* A claim about the state of one member. */
struct msp_gossip_member_t {
	string name<MSP_GOSSIP_NAME_MAX>;
	string region<MSP_GOSSIP_NAME_MAX>;
	string place<MSP_GOSSIP_NAME_MAX>;
	string address<MSP_GOSSIP_ADDRESS_MAX>;
	unsigned int caller_port;
	unsigned int peer_port;
	unsigned hyper incarnation;
	unsigned int round; /* grows when the member refutes a claim */
	msp_gossip_state_t state;
};

/* The latest load report of one member, and the release in force there. */
struct msp_gossip_load_t {
	string name<MSP_GOSSIP_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned hyper release;
	opaque payload<MSP_GOSSIP_LOAD_MAX>;
};

/* The sender of a message; part of every message between members. */
struct msp_gossip_head_t {
	string from<MSP_GOSSIP_NAME_MAX>;
	string place<MSP_GOSSIP_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper release;
};

/* Changes of members and load reports that go along with a message. */
struct msp_gossip_news_t {
	msp_gossip_member_t updates<MSP_GOSSIP_UPDATES_MAX>;
	msp_gossip_load_t loads<MSP_GOSSIP_LOADS_MAX>;
};

struct msp_gossip_ping_t {
	msp_gossip_head_t head;
	msp_gossip_news_t news;
};

struct msp_gossip_ack_t {
	msp_gossip_head_t head;
	bool unknown; /* no such member or incarnation as the ping's sender */
	msp_gossip_news_t news;
};

/* Asks the receiver to ping `target` on behalf of the sender. No answer. */
struct msp_gossip_ping_req_t {
	msp_gossip_head_t head;
	msp_gossip_member_t target;
	unsigned int token;
};

/* Reports that `target` acknowledged an indirect ping. No answer. */
struct msp_gossip_ping_ok_t {
	msp_gossip_head_t head;
	string target<MSP_GOSSIP_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned int token;
};

/*
 * Asks for the members whose names sort after `after`. `digest` covers the
 * sender's view of the members that are not dead; the answer is empty if the
 * receiver's view is the same. With digest 0 the receiver does not ask for the
 * sender's members in return.
 */
struct msp_gossip_sync_t {
	msp_gossip_head_t head;
	msp_gossip_member_t self;
	unsigned hyper digest;
	string after<MSP_GOSSIP_NAME_MAX>;
};

/* Members in the order of their names; `more`: there are others after them. */
struct msp_gossip_page_t {
	msp_gossip_head_t head;
	msp_gossip_member_t members<MSP_GOSSIP_UPDATES_MAX>;
	bool more;
};

/* A VM of a data centre that takes requests from callers. */
struct msp_gossip_entry_t {
	string name<MSP_GOSSIP_NAME_MAX>;
	string address<MSP_GOSSIP_ADDRESS_MAX>;
	unsigned int caller_port;
	unsigned int peer_port;
};

/* Free and total slots of one service in a data centre. */
struct msp_gossip_headroom_t {
	string service<MSP_GOSSIP_NAME_MAX>;
	unsigned int slots_free;
	unsigned int slots;
};

/* State of one data centre, written by its author `age_ms` ago. */
struct msp_gossip_summary_t {
	string place<MSP_GOSSIP_NAME_MAX>;
	string region<MSP_GOSSIP_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int age_ms;
	unsigned hyper release;
	unsigned int live;
	bool draining;
	msp_gossip_entry_t entries<MSP_GOSSIP_ENTRIES_MAX>;
	msp_gossip_headroom_t services<MSP_GOSSIP_SERVICES_MAX>;
	opaque credits<MSP_GOSSIP_CREDITS_MAX>;
};

/* Identifies the newest summary of a data centre that the sender has. */
struct msp_gossip_have_t {
	unsigned int place_hash;
	unsigned int sequence; /* the low 32 bits */
};

struct msp_gossip_exchange_t {
	msp_gossip_head_t head;
	string region<MSP_GOSSIP_NAME_MAX>;
	msp_gossip_have_t have<MSP_GOSSIP_PLACES_MAX>;
};

struct msp_gossip_summaries_t {
	msp_gossip_head_t head;
	msp_gossip_summary_t summaries<MSP_GOSSIP_SUMMARIES_MAX>;
	bool more;
};

program MSP_GOSSIP_PROGRAM {
	version MSP_GOSSIP_VERSION {
		msp_gossip_ack_t MSP_GOSSIP_PING(msp_gossip_ping_t) = 1;
		void MSP_GOSSIP_PING_REQ(msp_gossip_ping_req_t) = 2;
		void MSP_GOSSIP_PING_OK(msp_gossip_ping_ok_t) = 3;
		void MSP_GOSSIP_ANNOUNCE(msp_gossip_ping_t) = 4;
		msp_gossip_page_t MSP_GOSSIP_SYNC(msp_gossip_sync_t) = 5;
		msp_gossip_summaries_t
		    MSP_GOSSIP_EXCHANGE(msp_gossip_exchange_t) = 6;
	} = 1;
} = 0x2f4d5350;
