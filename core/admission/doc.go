// Package admission hands out the slots of the owned servers of one service.
package admission
