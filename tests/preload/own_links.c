#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/syscall.h>

/*
 * Preloaded into a VM's process by the soak. Connections to the address in
 * LINKS_ALIAS go to the same port of the address in LINKS_ADDRESS instead. All
 * VMs read the same addresses of targets; with this, each VM reaches the
 * targets through links of its own, which can be cut apart from the others'.
 */

#define ALIAS_VARIABLE "SOAK_LINKS_ALIAS"
#define ADDRESS_VARIABLE "SOAK_LINKS_ADDRESS"

static int
read_address(const char *variable, struct in_addr *address)
{
	const char *text = getenv(variable);

	return text != NULL && inet_pton(AF_INET, text, address) == 1;
}

int
connect(int fd, const struct sockaddr *address, socklen_t len)
{
	struct sockaddr_in changed;
	struct in_addr alias;
	struct in_addr own;

	if (address->sa_family != AF_INET || len < sizeof(changed) ||
	    !read_address(ALIAS_VARIABLE, &alias) ||
	    !read_address(ADDRESS_VARIABLE, &own))
		return (int)syscall(SYS_connect, fd, address, len);
	memcpy(&changed, address, sizeof(changed));
	if (changed.sin_addr.s_addr == alias.s_addr)
		changed.sin_addr = own;
	return (int)syscall(SYS_connect, fd, &changed, sizeof(changed));
}
